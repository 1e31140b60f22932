/** Engines that stop in the middle of an answer's head. */
import test from "ava";
import type { Socket } from "node:net";
import * as core from "../../../core/mod.ts";
import type * as fleet from "../../../fleet/mod.ts";
import * as testing from "../../../testing/mod.ts";
import {
  answerBytes,
  type Arrival,
  chunk,
  chunkedHead,
  eventOf,
  EVENTS,
  SEAL,
  streamBytes,
  success,
  withFleet,
} from "../raw_engines.ts";

/** Answers that a caller would take for whole if their heads counted as such. */
const SHAPES: Readonly<Record<string, (id: string) => string>> = {
  length: success,
  "no body": (id) => answerBytes(id, 200, "", SEAL),
  chunks: (id) => streamBytes(id),
  "no framing": (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\n${SEAL}\r\nwhole`,
  "closes": (id) =>
    answerBytes(id, 200, "whole", `connection: close\r\n${SEAL}`),
  "HTTP/1.0": (id) => `HTTP/1.0 200 OK\r\nx-id: ${id}\r\n${SEAL}\r\nwhole`,
  "early hints": (id) =>
    `HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\n${success(id)}`,
  failure: (id) => answerBytes(id, 500, "own error", SEAL),
  refusal: (id) => answerBytes(id, 503, "", "x-not-run: 1\r\n"),
};

/** Where an answer may stop: inside its last head. */
function* cutsOf(answer: string) {
  const lastHead = answer.lastIndexOf("HTTP/1.");
  for (const { bytes, cut } of testing.cutHeads(answer.slice(lastHead))) {
    yield { bytes: answer.slice(0, lastHead) + bytes, cut };
  }
}

function writeCut(socket: Socket, bytes: string, cut: testing.CutKind): void {
  const end = () => {
    if (cut === "close") socket.end();
    else setTimeout(() => socket.resetAndDestroy(), 1);
  };
  if (bytes === "") end();
  else socket.write(bytes, end);
}

const REQUESTS_AT_ONCE = 16;
/** Long enough for a busy machine: no request here ends by its deadline. */
const DEADLINE_MS = 60_000;

/** Runs `ask` for each item, a few at a time. */
async function forEach<T>(
  items: readonly T[],
  ask: (item: T, n: number) => Promise<void>,
): Promise<void> {
  let next = 0;
  await Promise.all(Array.from({ length: REQUESTS_AT_ONCE }, async () => {
    while (next < items.length) {
      const n = next++;
      await ask(items[n]!, n);
    }
  }));
}

// Guards against a 200 with an empty or short body, framed as whole, and against
// "not run", where an engine stopped in the middle of its answer's head.
for (const [shape, answerOf] of Object.entries(SHAPES)) {
  for (const kind of ["unsafe", "safe", "stream"] as fleet.RouteKind[]) {
    test.serial(`a head that is cut off is no answer: ${kind}, ${shape}`, async (t) => {
      const cuts = [...cutsOf(answerOf("0000"))]
        .map(({ bytes, cut }) => ({ length: bytes.length, cut }));
      const idOf = (n: number) => String(n).padStart(4, "0");
      const runs = new Map<string, number>();
      const answer = ({ id, socket, times }: Arrival) => {
        if (id.startsWith("warm")) return void socket.write(success(id));
        runs.set(id, times);
        const { length, cut } = cuts[Number(id)]!;
        if (times === 1) {
          return writeCut(socket, answerOf(id).slice(0, length), cut);
        }
        socket.write(kind === "stream" ? streamBytes(id) : success(id));
      };
      await withFleet([answer], { deadlineMs: DEADLINE_MS }, async (fleet) => {
        // Half of the requests go out on connections that had whole answers.
        await Promise.all(
          Array.from(
            { length: REQUESTS_AT_ONCE / 2 },
            (_, n) => fleet.ask(`warm${n}`, "safe"),
          ),
        );
        await forEach(cuts, async (_cut, n) => {
          const received = await fleet.ask(idOf(n), kind);
          const detail = JSON.stringify({ ...cuts[n], ...received });
          if (kind === "unsafe") {
            t.is(received.status, 502, detail);
            t.is(received.body, "", detail);
          } else {
            t.is(received.status, 200, detail);
            t.true(received.isComplete, detail);
            const whole = kind === "safe"
              ? `whole ${idOf(n)}`
              : Array.from({ length: EVENTS }, (_, e) =>
                eventOf(idOf(n), e + 1)).join("");
            t.is(received.body, whole, detail);
          }
          t.is(runs.get(idOf(n)), kind === "unsafe" ? 1 : 2, detail);
        });
      });
    });
  }
}

// Guards against a stream that ends as complete before its last event, as the
// head of the answer that was to go on with it was cut off.
for (const [shape, answerOf] of Object.entries(SHAPES)) {
  test.serial(`a stream does not go on with a head that is cut off: ${shape}`, async (t) => {
    const cuts = [...cutsOf(answerOf("0000"))];
    const idOf = (n: number) => String(n).padStart(4, "0");
    const answer = ({ id, socket, times }: Arrival) => {
      if (times === 1) {
        const begun = chunkedHead(id, 200) + chunk(eventOf(id, 1));
        return void socket.write(begun, () => socket.destroy());
      }
      const { bytes, cut } = cuts[Number(id)]!;
      writeCut(socket, answerOf(id).slice(0, bytes.length), cut);
    };
    const options = {
      kind: "stream",
      attemptsMax: 2,
      deadlineMs: DEADLINE_MS,
    } as const;
    await withFleet([answer], options, async (fleet) => {
      await forEach(cuts, async ({ bytes, cut }, n) => {
        const received = await fleet.ask(idOf(n));
        const detail = JSON.stringify({ bytes, cut, ...received });
        t.false(received.isComplete, detail);
        t.is(received.body, eventOf(idOf(n), 1), detail);
      });
    });
  });
}

// Guards against "not run" for a request whose engine began its answer's head and
// neither went on nor closed.
test.serial("a head that stops and stays open may follow a run", async (t) => {
  const cuts = [...cutsOf(success("0000"))]
    .filter(({ cut }) => cut === "close");
  const idOf = (n: number) => String(n).padStart(4, "0");
  const arrived = new Set<string>();
  const refused: string[] = [];
  const answer = ({ id, socket }: Arrival) => {
    arrived.add(id);
    socket.write(success(id).slice(0, cuts[Number(id)]!.bytes.length));
  };
  await withFleet([answer], { deadlineMs: 600 }, async (fleet, [engine]) => {
    await Promise.all(cuts.map(async (_cut, n) => {
      const received = await fleet.ask(idOf(n), "unsafe");
      // On a busy machine the time may be over before a request is sent.
      if (received.status === 503) refused.push(idOf(n));
      else t.is(received.status, 504, JSON.stringify(received));
    }));
    t.true(arrived.size > 0);
    await core.sleep(100);
    t.false(
      refused.some((id) => arrived.has(id)),
      "refused, and arrived later",
    );
    await testing.waitUntil(
      "their connections are closed",
      () => engine!.open.size === 0,
    );
  });
});

// Guards against a next answer that is made of the rest of a dropped one and a
// head that was cut off behind it.
test.serial("a head that is cut off behind a dropped answer joins nothing", async (t) => {
  const cuts = [...cutsOf(success("0000"))];
  const idOf = (n: number) => String(n).padStart(4, "0");
  const answer = ({ id, socket, times }: Arrival) => {
    if (times > 1) return void socket.write(success(id));
    const { bytes, cut } = cuts[Number(id)]!;
    const failed = answerBytes(id, 500, "own error", SEAL);
    writeCut(socket, failed + success(id).slice(0, bytes.length), cut);
  };
  await withFleet([answer], { deadlineMs: DEADLINE_MS }, async (fleet) => {
    await forEach(cuts, async ({ bytes, cut }, n) => {
      const received = await fleet.ask(idOf(n), "safe");
      const detail = JSON.stringify({ bytes, cut, ...received });
      t.like(received, { status: 200, isComplete: true }, detail);
      t.is(received.body, `whole ${idOf(n)}`, detail);
    });
  });
});
