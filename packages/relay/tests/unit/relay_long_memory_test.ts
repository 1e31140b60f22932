import test from "ava";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { type Arrival, refusal, success, withFleet } from "../raw_engines.ts";

const LATER_MS = 121_000;
const RUN_MS = 20;

// Guards against a request that runs more than once because its connections have
// forgotten its id before a copy of its first refusal came: nothing bounds how
// late that is. The connections stay open, as they do under other traffic.
test("a copy of a refusal does not count for the same id two minutes later", async (t) => {
  const runs: string[] = [];
  const copies = new Map<Socket, string>();
  let isFull = true;
  const answer = ({ id, socket }: Arrival) => {
    const copy = copies.get(socket);
    copies.delete(socket);
    if (copy !== undefined) socket.write(copy);
    if (isFull) {
      copies.set(socket, refusal(id));
      return socket.write(refusal(id));
    }
    runs.push(id);
    setTimeout(() => socket.write(success(id)), RUN_MS);
  };
  const now = performance.now.bind(performance);
  try {
    await withFleet([answer], {}, async (fleet) => {
      t.is((await fleet.ask("r1")).status, 503);
      isFull = false;
      performance.now = () => now() + LATER_MS;
      t.is((await fleet.ask("r1")).status, 200);
      t.deepEqual(runs, ["r1"]);
    });
  } finally {
    performance.now = now;
  }
});
