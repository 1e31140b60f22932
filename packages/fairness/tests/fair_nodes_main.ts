/** Prints what the worst-served team gets of its due, by order and scenario. */
import process from "node:process";
import { type Scenario, simulate } from "./fair_nodes.ts";

const SEEDS = [1, 2, 3, 4, 5];

for (const [nodes, engines, teams] of [[4, 6, 16], [32, 26, 16]] as const) {
  for (const load of [0.8, 1.2]) {
    for (const nodesOfTeam of [nodes, Math.max(2, nodes / 8), 1]) {
      for (const isLong of [false, true]) {
        const worst = (order: Scenario["order"]) =>
          Math.min(...SEEDS.map((seed) =>
            simulate({
              nodes,
              engines,
              slots: 12,
              teams,
              workMs: (team) => isLong && team === 0 ? 400 : 40,
              load,
              flood: 7.5,
              nodesOfTeam,
              order,
              seed,
            })
          ));
        const fields = [
          `nodes=${nodes}`,
          `load=${load}`,
          `nodesOfTeam=${nodesOfTeam}`,
          `floodWork=${isLong ? "x10" : "x1"}`,
          ...(["arrival", "local", "sums"] as const)
            .map((order) => `${order}=${worst(order).toFixed(3)}`),
        ];
        process.stdout.write(`${fields.join(" ")}\n`);
      }
    }
  }
}
