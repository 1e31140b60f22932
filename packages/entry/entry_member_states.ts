/** What a node tells its children of all members. */
import { create } from "@bufbuild/protobuf";
import * as peers from "../peers/mod.ts";
import type { EntryState } from "./entry_state.ts";

/** The members with recent contact, this node included. */
export function memberStates(
  { settings, members, isReady, overload }: EntryState,
  nowMs: number,
): peers.MemberState[] {
  const own = create(peers.MemberStateSchema, {
    node: settings.nodeName,
    ageMs: 0,
    accepts: isReady,
    weightReduction: overload.weightReduction,
  });
  const others = members.contacts(nowMs).map((contact) =>
    create(peers.MemberStateSchema, contact)
  );
  return [own, ...others];
}

/** A node's contacts with its children. */
export function childStates(
  children: Iterable<{
    readonly digest: peers.NodeDigest;
    readonly receivedAtMs: number;
  }>,
  nowMs: number,
): peers.MemberState[] {
  return [...children].map(({ digest, receivedAtMs }) =>
    create(peers.MemberStateSchema, {
      node: digest.node,
      ageMs: Math.round(nowMs - receivedAtMs),
      accepts: digest.accepts,
      weightReduction: digest.weightReduction,
    })
  );
}
