/** Chooses the addresses that a directory request is answered with. */
import * as capacity from "../../capacity/mod.ts";
import type * as fleet from "../../fleet/mod.ts";
import type { EntryState } from "../entry_state.ts";

/**
 * Returns the callers' addresses of the nodes that accept callers: all of them
 * if their machines are of one size and few enough, else the stable part of
 * them for the failure domain of the client.
 *
 * @example
 * ```ts
 * const addresses = directoryAddresses(state, dialect.readDirectoryQuery(url));
 * ```
 */
export function directoryAddresses(
  state: EntryState,
  client: fleet.DirectoryQuery,
): string[] {
  const { members, settings, isReady } = state;
  const { host, port } = settings.listen.callers;
  const addresses = new Map([
    ...(isReady ? [[settings.nodeName, `${host}:${port}`] as const] : []),
    ...members.accepting(),
  ]);
  const { sizes } = state.capacity;
  const isWhole = !sizes.differ && addresses.size <= capacity.LIST_LENGTH_MAX;
  if (isWhole) return [...addresses.values()];
  const { lists } = state.capacity;
  const list = lists.nameFor({
    ...client,
    failureDomain: client.failureDomain ?? settings.failureDomain,
  });
  return lists.nodesOf(list, (node) => addresses.has(node) ? 1 : 0)
    .map((node) => addresses.get(node)!);
}
