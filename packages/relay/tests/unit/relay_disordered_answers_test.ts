/**
 * Engines send second copies of their answers, answers without end, cut heads,
 * resets, refusals and failures with the statuses of refusals, in an order that a
 * seed draws. Checks what callers are promised:
 *
 * - an unsafe request runs once at most;
 * - no request has run whose status promises that it has not;
 * - no request runs more often than its route allows;
 * - an answer is the request's own and whole, or does not look complete;
 * - a stream has its events in order, each once;
 * - a request that goes on elsewhere is not worked on where it was before;
 * - what is dropped takes no connection away.
 */
import test from "ava";
import type { Socket } from "node:net";
import process from "node:process";
import type * as fleet from "../../../fleet/mod.ts";
import * as core from "../../../core/mod.ts";
import {
  type Arrival,
  chunk,
  chunkedHead,
  eventOf,
  EVENTS,
  failure,
  LAST_CHUNK,
  type Received,
  refusal,
  streamBytes,
  success,
  withFleet,
} from "../raw_engines.ts";

const REQUESTS = 400;
const CONCURRENCY = 8;
const ATTEMPTS_MAX = 3;
const CONNECTIONS_MAX = 15;
/** Time after which no engine may work on a request that went on elsewhere. */
const OVERLAP_MAX_MS = 400;
/** Statuses that promise that a request has not run and never will. */
const PROMISES: readonly number[] = [408, 421, 429, 503];
/** Statuses of failures of engines that ran the request. */
const OWN_STATUSES: readonly number[] = [500, 503, 429, 408];
const KINDS: readonly fleet.RouteKind[] = ["unsafe", "safe", "stream"];

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

/** A run of a request on one connection. */
interface Work {
  isOver: boolean;
}

/** What engines do, and what they have done. */
class DisorderedEngines {
  readonly faults: string[] = [];
  readonly runs = new Map<string, number>();
  readonly counts: Record<string, number> = {};
  readonly #random: () => number;
  readonly #works = new Map<string, Work[]>();
  readonly #copies = new WeakMap<Socket, string>();

  constructor(seed: number) {
    this.#random = makeRandom(seed);
  }

  /** Works that have not ended. */
  get openWorks(): string[] {
    return [...this.#works].filter(([, works]) =>
      works.some(({ isOver }) => !isOver)
    ).map(([id]) => id);
  }

  choose<T>(engines: readonly T[]): T {
    return engines[Math.floor(this.#random() * engines.length)]!;
  }

  kindOf(id: string): fleet.RouteKind {
    return KINDS[Number(id.slice(1)) % KINDS.length]!;
  }

  readonly answer = (arrival: Arrival): void => {
    const { id, socket } = arrival;
    this.#sendCopy(socket);
    for (const earlier of this.#works.get(id) ?? []) {
      if (earlier.isOver) continue;
      setTimeout(() => {
        if (!earlier.isOver) this.faults.push(`${id} is worked on twice`);
      }, OVERLAP_MAX_MS);
    }
    const draw = this.#random();
    if (draw < 0.25) return this.#end("refusal", socket, refusal(id));
    if (draw < 0.29) return this.#end("anonymous", socket, refusal());
    if (draw < 0.33) {
      return this.#endless("endlessRefusal", arrival, 503, "x-not-run: 1\r\n");
    }
    const work = this.#begin(arrival);
    if (draw < 0.37) return this.#endless("endlessFailure", arrival, 500);
    if (draw < 0.39) return this.#dribbleHead(socket);
    setTimeout(() => this.#run(arrival, work, draw), 1 + 10 * this.#random());
  };

  #count(name: string): void {
    this.counts[name] = (this.counts[name] ?? 0) + 1;
  }

  #begin({ id, socket }: Arrival): Work {
    const work = { isOver: false };
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    this.#works.set(id, [...this.#works.get(id) ?? [], work]);
    socket.once("close", () => work.isOver = true);
    return work;
  }

  #run({ id, after, socket }: Arrival, work: Work, draw: number): void {
    work.isOver = true;
    if (socket.destroyed) return;
    const isStream = this.kindOf(id) === "stream";
    if (draw < 0.41) return this.#reset(socket, "");
    if (draw < 0.45) return this.#cutHead(socket, success(id));
    if (draw < 0.53) {
      const status = this.choose(OWN_STATUSES);
      return this.#end(`own${status}`, socket, failure(id, status));
    }
    if (!isStream) {
      if (draw < 0.6) return this.#reset(socket, success(id).slice(0, -3));
      return this.#end("success", socket, success(id));
    }
    const from = Number(after);
    if (draw < 0.6 && after !== "") {
      return this.#end("anew", socket, streamBytes(id));
    }
    const broken = chunkedHead(id, 200) + chunk(eventOf(id, from + 1)) +
      chunk(eventOf(id, from + 2).slice(0, 7));
    const whole = streamBytes(id, from);
    if (draw < 0.7 && from + 2 <= EVENTS) {
      return this.#end("insideEvent", socket, broken + LAST_CHUNK, whole);
    }
    if (draw < 0.75) return this.#reset(socket, broken);
    this.#end("stream", socket, whole);
  }

  /** Sends an answer, and later a copy of it or nothing. */
  #end(name: string, socket: Socket, bytes: string, copy = bytes): void {
    this.#count(name);
    socket.write(bytes);
    const draw = this.#random();
    if (draw < 0.3) this.#copies.set(socket, copy);
    else if (draw < 0.4) {
      setTimeout(() => this.#write(socket, copy), 12 * this.#random());
    }
  }

  #write(socket: Socket, bytes: string): void {
    if (socket.destroyed) return;
    this.#count("copies");
    socket.write(bytes);
  }

  /** Sends the copy of the answer before, at once or while this one is due. */
  #sendCopy(socket: Socket): void {
    const copy = this.#copies.get(socket);
    if (copy === undefined) return;
    this.#copies.delete(socket);
    if (this.#random() < 0.5) return this.#write(socket, copy);
    setTimeout(() => this.#write(socket, copy), 6 * this.#random());
  }

  #reset(socket: Socket, bytes: string): void {
    this.#count("resets");
    if (bytes === "") socket.resetAndDestroy();
    else socket.write(bytes, () => socket.destroy());
  }

  /** Stops inside the head of an answer, and closes or resets. */
  #cutHead(socket: Socket, answer: string): void {
    this.#count("cutHeads");
    const headLength = answer.indexOf("\r\n\r\n") + 4;
    const bytes = answer.slice(0, Math.floor(this.#random() * headLength));
    const isReset = this.#random() < 0.5;
    const end = () => isReset ? socket.resetAndDestroy() : socket.end();
    if (bytes === "") end();
    else socket.write(bytes, end);
  }

  #endless(
    name: string,
    { id, socket }: Arrival,
    status: number,
    headers?: string,
  ): void {
    this.#count(name);
    socket.write(chunkedHead(id, status, headers));
    const size = this.#random() < 0.5 ? 1 : 9_000;
    this.#dribble(socket, chunk("x".repeat(size)));
  }

  #dribbleHead(socket: Socket): void {
    this.#count("endlessHead");
    socket.write("HTTP/1.1 200 OK\r\n");
    this.#dribble(socket, "x-more: y\r\n");
  }

  #dribble(socket: Socket, bytes: string): void {
    const timer = setInterval(() => socket.write(bytes), 5);
    socket.once("close", () => clearInterval(timer));
  }

  /** Compares what a caller received with what the engines did. */
  check(id: string, { status, body, isComplete }: Received): void {
    const kind = this.kindOf(id);
    const runs = this.runs.get(id) ?? 0;
    const fail = (text: string) => this.faults.push(`${kind} ${id}: ${text}`);
    if (kind === "unsafe" && runs > 1) fail(`ran ${runs} times`);
    if (runs > ATTEMPTS_MAX) fail(`ran ${runs} times`);
    if (PROMISES.includes(status) && runs > 0) fail(`got ${status} and ran`);
    if (status === 500 && body !== "own error") fail(`failed with ${body}`);
    if (status !== 200) return;
    if (kind === "stream") this.#checkEvents(body, isComplete, id, fail);
    else if (body !== `whole ${id}` || !isComplete) fail(`got ${body}`);
  }

  #checkEvents(
    body: string,
    isComplete: boolean,
    id: string,
    fail: (text: string) => void,
  ): void {
    let expected = "";
    for (let n = 1; n <= EVENTS; n++) {
      if (expected === body) break;
      expected += eventOf(id, n);
    }
    if (expected !== body) fail(`got ${JSON.stringify(body)}`);
    const last = eventOf(id, EVENTS);
    if (isComplete && !body.endsWith(last)) fail("ended before its last event");
  }
}

const seeds = process.env.SEED === undefined
  ? [1, 2, 3]
  : [Number(process.env.SEED)];

for (const seed of seeds) {
  // Guards against answers that are taken for those of other sendings, and
  // against dropped ones that go on, whatever comes in which order.
  test.serial(`promises hold while answers are doubled, endless and cut, seed ${seed}`, async (t) => {
    const engines = new DisorderedEngines(seed);
    const { answer } = engines;
    const options = {
      attemptsMax: ATTEMPTS_MAX,
      connectionsMax: CONNECTIONS_MAX,
      deadlineMs: 1_500,
      choose: <T>(all: readonly T[]) => engines.choose(all),
    };
    await withFleet(
      [answer, answer, answer],
      options,
      async (rawFleet, all) => {
        let next = 0;
        const askInTurn = async () => {
          while (next < REQUESTS) {
            const id = `r${next++}`;
            const received = await rawFleet.ask(id, engines.kindOf(id));
            engines.check(id, received);
          }
        };
        await Promise.all(Array.from({ length: CONCURRENCY }, askInTurn));
        await core.sleep(OVERLAP_MAX_MS + 100);
        const opened = all.reduce((sum, one) => sum + one.connections, 0);
        t.log(JSON.stringify({ seed, ...engines.counts, opened }));
        t.deepEqual(engines.faults, []);
        t.deepEqual(engines.openWorks, [], "engines work on");
        for (const { open } of all) t.true(open.size <= 0.8 * CONNECTIONS_MAX);
        t.true((engines.counts["copies"] ?? 0) > 20, "too few copies");
      },
    );
  });
}
