/**
 * Requests are cancelled or withdrawn at any moment around their sending, while
 * engines close connections that are about to be used again. What is reported as
 * not sent never arrives, also later.
 */
import test from "ava";
import { Buffer } from "node:buffer";
import process from "node:process";
import * as core from "../../../core/mod.ts";
import * as transport from "../../../transport/mod.ts";
import * as relay from "../../mod.ts";
import { type Arrival, RawEngine, success } from "../raw_engines.ts";

const REQUESTS = 600;
const CONCURRENCY = 6;
const CONNECTIONS_MAX = 3;
const TURNS_MAX = 12;
const SEED = Number(process.env.SEED ?? 1);

/** Random numbers that depend on the seed alone (mulberry32). */
function makeRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Waits for a moment inside a turn of the event loop, or some turns. */
async function wait(random: () => number): Promise<void> {
  const draw = random();
  if (draw < 0.2) return;
  if (draw < 0.4) return await Promise.resolve();
  if (draw < 0.5) {
    return await new Promise((resolve) => process.nextTick(resolve));
  }
  for (let turns = TURNS_MAX * random(); turns > 0; turns--) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

// Guards against "not run" for a request that was given up while its connection
// was opened or checked, and that is sent all the same.
test(`a request that was reported as not sent never arrives, seed ${SEED}`, async (t) => {
  const random = makeRandom(SEED);
  const arrived = new Set<string>();
  const counts = { no: 0, maybe: 0, answered: 0 };
  const answer = ({ id, socket }: Arrival) => {
    arrived.add(id);
    const draw = random();
    const bytes = success(id);
    if (draw < 0.2) return socket.end(bytes);
    if (draw < 0.3) {
      socket.write(bytes);
      return void setImmediate(() => socket.destroy());
    }
    // A copy may come just when the connection is used again.
    if (draw < 0.5) setImmediate(() => socket.write(bytes));
    socket.write(bytes);
  };
  const engine = await RawEngine.start("e", answer);
  const connections = new relay.UpstreamConnections(
    `http://${engine.record.address}`,
    { connect: transport.connector(600), connectionsMax: CONNECTIONS_MAX },
  );
  const notSent = new Set<string>();
  const send = async (id: string) => {
    let mayStart = true;
    const attempt = relay.startAttempt(
      relay.guardStart(connections, () => mayStart),
      {
        path: "/",
        method: "GET",
        headers: { "x-id": id },
        body: random() < 0.3 ? Buffer.alloc(20_000, "b") : null,
        connections: new relay.RequestConnections(id),
      },
    );
    const draw = random();
    if (draw < 0.4) wait(random).then(() => attempt.cancel("test"));
    else if (draw < 0.7) wait(random).then(() => mayStart = false);
    const head = await attempt.head;
    if (head.isErr()) {
      counts[head.error.sent]++;
      if (head.error.sent === "no") notSent.add(id);
      return;
    }
    counts.answered++;
    while ((await attempt.next()).kind === "data");
  };
  let next = 0;
  await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
    while (next < REQUESTS) {
      await send(`r${next++}`);
      await wait(random);
    }
  }));
  await core.sleep(100);
  t.log(JSON.stringify(counts));
  t.deepEqual([...notSent].filter((id) => arrived.has(id)), []);
  t.true(counts.no > 20);
  t.true(counts.maybe > 20);
  t.true(counts.answered > 20);
  await connections.destroy();
  engine.stop();
});
