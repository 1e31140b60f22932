/** What nodes tell each other of the memory of engines, and its sums. */
import { create } from "@bufbuild/protobuf";
import * as admission from "../../admission/mod.ts";
import * as core from "../../core/mod.ts";
import type * as dispatch from "../../dispatch/mod.ts";
import * as peers from "../../peers/mod.ts";
import type { EntryState } from "../entry_state.ts";

type MemoryUse = Pick<
  peers.EngineUse,
  "recentSends" | "claimedTokens" | "firstClaims"
>;

/** What this node tells of one engine, besides its load. */
export function memoryUseOf(
  { memory }: dispatch.UpstreamState,
  nowMs: number,
): MemoryUse {
  const claim = memory.claim(nowMs);
  const tokens = core.toUint32(claim?.tokens ?? 0);
  return {
    recentSends: memory.recentSends(nowMs),
    claimedTokens: tokens,
    firstClaims: claim
      ? [create(peers.EngineClaimSchema, { ticket: claim.ticket, tokens })]
      : [],
  };
}

/** Whether a node tells of an engine although it has no load there. */
export function hasMemoryUse(use: MemoryUse): boolean {
  return use.recentSends > 0 || use.claimedTokens > 0;
}

/**
 * Adds or subtracts what a node told. The claims stay in the sum: a node knows
 * its own one by its ticket.
 */
export function addMemoryUse(
  sum: MemoryUse,
  use: MemoryUse,
  sign: 1 | -1,
): void {
  sum.recentSends = core.toUint32(sum.recentSends + sign * use.recentSends);
  sum.claimedTokens = core.toUint32(
    sum.claimedTokens + sign * use.claimedTokens,
  );
  if (sign < 0 || use.firstClaims.length === 0) return;
  const byTicket = new Map(
    [...sum.firstClaims, ...use.firstClaims].map((each) => [each.ticket, each]),
  );
  sum.firstClaims = [...byTicket.values()]
    .sort((a, b) => a.ticket - b.ticket)
    .slice(0, admission.CLAIMS_TOLD_MAX);
}

/** Load whose age counts for a number of nodes. */
interface AgedLoad {
  readonly nodes: number;
  readonly ageMs: number;
}

/**
 * Mean age of the load of all nodes.
 *
 * @param parentAgeMs age of what the parent told; undefined at the root.
 */
export function fleetAgeMs(
  group: AgedLoad,
  members: number,
  parentAgeMs: number | undefined,
): number {
  if (parentAgeMs === undefined) return group.ageMs;
  const others = Math.max(1, members - group.nodes);
  return meanAgeMs([group, { nodes: others, ageMs: parentAgeMs }]);
}

function meanAgeMs(loads: Iterable<AgedLoad>): number {
  let nodes = 0;
  let sumMs = 0;
  for (const load of loads) {
    nodes += load.nodes;
    sumMs += load.nodes * load.ageMs;
  }
  return nodes === 0 ? 0 : sumMs / nodes;
}

/** Load of this node and its children: their number, and its mean age. */
export function groupAge(
  children: Iterable<{
    readonly digest: peers.NodeDigest;
    readonly receivedAtMs: number;
  }>,
  nowMs: number,
): AgedLoad {
  const loads: AgedLoad[] = [{ nodes: 1, ageMs: 0 }];
  for (const { digest, receivedAtMs } of children) {
    loads.push({
      nodes: 1 + digest.children.length,
      ageMs: digest.usesAgeMs + nowMs - receivedAtMs,
    });
  }
  const nodes = loads.reduce((sum, load) => sum + load.nodes, 0);
  return { nodes, ageMs: meanAgeMs(loads) };
}

/**
 * Other nodes' queued requests for each engine: those for each of its models,
 * shared among the engines that hold it.
 */
export function contendersByEngine(
  { upstreams, fleetQueues, queue }: EntryState,
): ReadonlyMap<string, number> {
  const contenders = new Map<string, number>();
  for (const [modelKey, waiting] of fleetQueues) {
    const others = waiting - queue.count(modelKey);
    if (others <= 0) continue;
    const model = core.brandId<core.ModelName>(modelKey.split("/")[0]!);
    const holders = [...upstreams.all()]
      .filter(({ replicas }) => replicas.has(model));
    for (const { record } of holders) {
      const known = contenders.get(record.id) ?? 0;
      contenders.set(record.id, known + others / holders.length);
    }
  }
  return contenders;
}
