import test from "ava";
import type { Socket } from "node:net";
import * as core from "../../../core/mod.ts";
import {
  type Arrival,
  chunk,
  chunkedHead,
  failure,
  LAST_CHUNK,
  refusal,
  streamBytes,
  success,
  withFleet,
} from "../raw_engines.ts";

/** Time in which a request is answered whose first answer is dropped. */
const ANSWERED_WITHIN_MS = 1_500;
const NOT_RUN = "x-not-run: 1\r\n";

/** Writes bytes at an interval until the connection closes. */
function dribble(socket: Socket, bytes: string, everyMs: number): void {
  const timer = setInterval(() => socket.write(bytes), everyMs);
  socket.on("close", () => clearInterval(timer));
}

/** Endings of a body whose head says that it comes in chunks. */
const endings: [string, (socket: Socket) => void][] = [
  ["no body", () => {}],
  ["an endless body", (socket) => dribble(socket, chunk("x".repeat(9_000)), 1)],
  ["a body in chunks of one byte", (socket) => dribble(socket, chunk("x"), 1)],
  ["one byte a second", (socket) => dribble(socket, chunk("x"), 1_000)],
  ["half a chunk", (socket) => socket.write("ff\r\nx")],
  ["trailers without end", (socket) => {
    socket.write("0\r\n");
    dribble(socket, "x-more: y\r\n", 5);
  }],
];

interface Dropped {
  readonly name: string;
  readonly kind: "unsafe" | "safe" | "stream";
  /** Headers of the answer that is dropped. */
  readonly head: (id: string) => string;
}

const dropped: Dropped[] = [
  {
    name: "a refusal",
    kind: "unsafe",
    head: (id) => chunkedHead(id, 503, NOT_RUN),
  },
  {
    name: "a refusal of the model",
    kind: "stream",
    head: (id) => chunkedHead(id, 421, NOT_RUN),
  },
  {
    name: "a failure that is retried",
    kind: "safe",
    head: (id) => chunkedHead(id, 500),
  },
  {
    name: "a failure of a stream that goes on",
    kind: "stream",
    head: (id) => chunkedHead(id, 500),
  },
  {
    name: "a failure without framing",
    kind: "safe",
    head: (id) => `HTTP/1.1 500 Failed\r\nx-id: ${id}\r\nx-seal: s\r\n\r\n`,
  },
  {
    name: "a refusal with a length",
    kind: "unsafe",
    head: (id) =>
      `HTTP/1.1 503 Full\r\nx-id: ${id}\r\n${NOT_RUN}content-length: 9000000\r\n\r\n`,
  },
];

// Guards against an engine that works on for a request that goes on at another
// one, and against connections that stay taken by answers without end.
for (const { name, kind, head } of dropped) {
  for (const [ending, end] of endings) {
    test.serial(`${name} with ${ending} is closed before the request goes on`, async (t) => {
      let first: Socket | undefined;
      let isClosed: boolean | undefined;
      const spoil = ({ id, socket }: Arrival) => {
        first = socket;
        socket.write(head(id));
        end(socket);
      };
      const answer = ({ id, socket }: Arrival) => {
        // The close may be read just after the next request, and if the process
        // was held up only after the timer.
        setTimeout(async () => {
          for (let polls = 0; polls < 3; polls++) await core.nextPoll();
          isClosed = first!.destroyed;
          socket.write(kind === "stream" ? streamBytes(id) : success(id));
        }, 100);
      };
      let sendings = 0;
      const options = {
        kind,
        choose: <T>(engines: readonly T[]) => engines[sendings++ ? 1 : 0]!,
      };
      await withFleet([spoil, answer], options, async (fleet, engines) => {
        const startedAtMs = core.monotonicMs();
        t.is((await fleet.ask("r1")).status, 200);
        t.true(core.monotonicMs() - startedAtMs < ANSWERED_WITHIN_MS);
        t.true(isClosed, "the engine works on");
        t.is(engines[0]!.open.size, 0);
        t.is(fleet.closed.length, 1);
      });
    });
  }
}

// Guards against a connection that is closed although its answer is whole, which
// would make refusals cost connections.
for (
  const [name, bytes] of [
    ["a refusal", refusal],
    [
      "a refusal with a body",
      (id: string) =>
        chunkedHead(id, 503, NOT_RUN) + chunk("x".repeat(900)) + LAST_CHUNK,
    ],
    ["a failure", failure],
  ] as const
) {
  test(`${name} that is whole leaves its connection open`, async (t) => {
    const answer = ({ id, socket, times }: Arrival) => {
      if (times > 1) return void socket.write(success(id));
      const half = Math.floor(bytes(id).length / 2);
      socket.write(bytes(id).slice(0, half));
      setTimeout(() => socket.write(bytes(id).slice(half)), 20);
    };
    await withFleet([answer], { kind: "safe" }, async (fleet, [engine]) => {
      for (let n = 0; n < 5; n++) t.is((await fleet.ask(`r${n}`)).status, 200);
      t.is(engine!.connections, 2);
      t.deepEqual(fleet.closed, []);
    });
  });
}

// Guards against a node whose connections to an engine are all taken by answers
// without end, so that nothing reaches the engine once it is sound again.
test("connections with answers without end never add up", async (t) => {
  let isSpoiling = true;
  const answer = ({ id, socket }: Arrival) => {
    if (!isSpoiling) return void socket.write(success(id));
    socket.write(chunkedHead(id, 503, NOT_RUN));
    dribble(socket, chunk("x".repeat(2_000)), 5);
  };
  await withFleet(
    [answer],
    { connectionsMax: 10 },
    async (fleet, [engine]) => {
      const ids = Array.from({ length: 20 }, (_, n) => `r${n}`);
      // Each is given up after six refusals.
      const refused = await Promise.all(ids.map((id) => fleet.ask(id)));
      t.true(refused.every(({ status }) => status === 503));
      isSpoiling = false;
      const startedAtMs = core.monotonicMs();
      const served = await Promise.all(
        ids.map((id) => fleet.ask(`late-${id}`)),
      );
      t.true(served.every(({ status }) => status === 200));
      t.true(core.monotonicMs() - startedAtMs < ANSWERED_WITHIN_MS);
      t.true(engine!.open.size <= 8);
    },
  );
});
