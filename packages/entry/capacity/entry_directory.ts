/** Chooses the addresses that a directory request is answered with. */
import * as capacity from "../../capacity/mod.ts";
import type * as core from "../../core/mod.ts";
import type * as fleet from "../../fleet/mod.ts";
import type { EntryState } from "../entry_state.ts";

const PERCENT = 100;

/**
 * Returns the callers' addresses of the nodes that accept callers: all of them
 * if their machines are of one size, none is overloaded and they are few, else the stable part of
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
  const { members, settings, isReady, overload } = state;
  const { host, port } = settings.listen.callers;
  const addresses = new Map([
    ...(isReady ? [[settings.nodeName, `${host}:${port}`] as const] : []),
    ...members.accepting(),
  ]);
  const { sizes } = state.capacity;
  const reductionOf = (node: core.InstanceId) =>
    node === settings.nodeName
      ? overload.weightReduction
      : members.weightReduction(node);
  const isWhole = !sizes.differ &&
    addresses.size <= capacity.LIST_LENGTH_MAX &&
    [...addresses.keys()].every((node) => reductionOf(node) === 0);
  if (isWhole) return [...addresses.values()];
  const { lists } = state.capacity;
  const list = lists.nameFor({
    ...client,
    failureDomain: client.failureDomain ?? settings.failureDomain,
  });
  const health = (node: core.InstanceId) =>
    addresses.has(node) ? 1 - reductionOf(node) / PERCENT : 0;
  return lists.nodesOf(list, health)
    .map((node) => addresses.get(node)!);
}
