import test from "ava";
import { simulate } from "../fair_nodes.ts";

/**
 * Part of its due that each team needs while another floods. The rest is what
 * callers lose who give up while queues of other nodes hold the free places.
 */
const DUE_SHARE_MIN = 0.75;

// Guards against a team that floods all nodes and takes the share of the others,
// which each node sees only in part.
test("each team gets its due from several nodes that share engines", (t) => {
  for (const seed of [1, 2]) {
    const share = simulate({
      nodes: 4,
      engines: 6,
      slots: 12,
      teams: 16,
      workMs: () => 40,
      load: 1.2,
      flood: 7.5,
      nodesOfTeam: 4,
      order: "local",
      seed,
    });
    t.true(share >= DUE_SHARE_MIN, `${share.toFixed(3)}, seed ${seed}`);
  }
});
