/** Converts between in-process types and the generated protocol messages. */
import { create } from "@bufbuild/protobuf";
import * as core from "../core/mod.ts";
import * as claims from "../claims/mod.ts";
import { Codec, number, string } from "purify-ts";
import {
  ClaimFate,
  type Member,
  MemberSchema,
  type ResolveClaimReply,
  ResolveClaimReplySchema,
} from "./gen/peers_pb.ts";
import type { PeerMember } from "./peers_directory.ts";

const OutcomeCodec = Codec.interface({
  status: number,
  contentType: string,
  bodyText: string,
});

/** Converts a member to its message. */
export function toMemberMessage(member: PeerMember): Member {
  return create(MemberSchema, {
    ...member,
    heartbeat: BigInt(member.heartbeat),
  });
}

/** Converts a message to a member. */
export function fromMemberMessage(message: Member): PeerMember {
  return {
    instanceId: core.brandId(message.instanceId),
    incarnation: core.brandId(message.incarnation),
    callerAddress: message.callerAddress,
    peerAddress: message.peerAddress,
    failureDomain: message.failureDomain,
    heartbeat: Number(message.heartbeat),
    leaving: message.leaving,
    joining: message.joining,
    load: message.load,
  };
}

/** Converts the fate of a claim to its message. */
export function toFateMessage(fate: claims.ClaimFate): ResolveClaimReply {
  const outcomeJson = fate.kind === "done" ? JSON.stringify(fate.outcome) : "";
  return create(ResolveClaimReplySchema, {
    fate: FATE_CODES[fate.kind],
    outcomeJson,
  });
}

const FATE_CODES: Record<claims.ClaimFate["kind"], ClaimFate> = {
  abandoned: ClaimFate.ABANDONED,
  inFlight: ClaimFate.IN_FLIGHT,
  done: ClaimFate.DONE,
  unknown: ClaimFate.UNKNOWN,
  notOwner: ClaimFate.NOT_OWNER,
  unreachable: ClaimFate.UNSPECIFIED,
};

/**
 * Converts a message to the fate of a claim. The fate is unknown if its code or
 * the outcome cannot be decoded.
 */
export function fromFateMessage(message: ResolveClaimReply): claims.ClaimFate {
  switch (message.fate) {
    case ClaimFate.ABANDONED:
      return { kind: "abandoned" };
    case ClaimFate.IN_FLIGHT:
      return { kind: "inFlight" };
    case ClaimFate.DONE:
      return core.decodeJson(message.outcomeJson, OutcomeCodec).match(
        (outcome): claims.ClaimFate => ({ kind: "done", outcome }),
        (): claims.ClaimFate => ({ kind: "unknown" }),
      );
    case ClaimFate.NOT_OWNER:
      return { kind: "notOwner" };
    default:
      return { kind: "unknown" };
  }
}
