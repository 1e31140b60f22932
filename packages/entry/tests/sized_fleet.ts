/** A node's state in a fleet of machines of several sizes, without a network. */
import * as core from "../../core/mod.ts";
import type { SizedNode } from "../../capacity/mod.ts";
import { toMachineRow } from "../capacity/entry_machine_row.ts";
import { EntryState } from "../entry_state.ts";
import { makeEntrySettings } from "./entry_settings.ts";

/** The state of one of the nodes, which knows the rows of all others. */
export function makeSizedState(
  nodes: readonly SizedNode[],
  self: SizedNode = nodes[0]!,
  log: (line: string) => void = () => {},
): EntryState {
  const state = new EntryState({
    ...makeEntrySettings(self.node),
    failureDomain: self.failureDomain,
    ...(self.machine ? { machine: self.machine } : {}),
  }, new core.Logger({}, log));
  for (const { node, failureDomain, machine } of nodes) {
    const row = toMachineRow(machine);
    state.members.setRow(node, {
      callerAddress: `${node}:80`,
      peerAddress: `${node}:81`,
      failureDomain,
      incarnation: `${node}-1`,
      isLeaving: false,
      ...(row ? { machine: row } : {}),
    });
  }
  state.hasReadMembers = true;
  state.hasReadUpstreams = true;
  state.applyConfig({
    version: 1,
    routes: [],
    services: new Map(),
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
    bodyBytesMax: 1,
  });
  return state;
}
