/**
 * Engines send their answers, second copies of them and informational answers in
 * pieces, down to single bytes, around the moments at which connections are used
 * again; callers come back with the same id. A seed draws all of it. Checks what
 * callers are promised:
 *
 * - an unsafe request runs once at most, however often its caller comes back;
 * - no request has run, or runs later, whose status promises that it has not;
 * - a success is the request's own.
 */
import test from "ava";
import type { Socket } from "node:net";
import process from "node:process";
import * as core from "../../../core/mod.ts";
import {
  answerBytes,
  type Arrival,
  type RawFleet,
  SEAL,
  withFleet,
} from "../raw_engines.ts";

const REQUESTS = 300;
const CONCURRENCY = 8;
const RETURNS_MAX = 3;
const CONNECTIONS_MAX = 4;
/** Sendings after which a refused request is rejected. */
const SENDS_MAX = 6;
const PAUSE_MAX_MS = 6;
const PROMISES: readonly number[] = [408, 421, 429, 503];
const FIRST_SEED = Number(process.env.SEED ?? 1);
const SEEDS = Number(process.env.SOAK_SEEDS ?? 3);

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

const informational = (id: string, status: number) =>
  `HTTP/1.1 ${status} Wait\r\nx-id: ${id}\r\nx-not-run: 1\r\n\r\n`;

class DribblingEngines {
  readonly faults: string[] = [];
  readonly runs = new Map<string, number>();
  readonly counts: Record<string, number> = {};
  /** Ids whose last answer promised that they had not run. */
  readonly #promised = new Set<string>();
  readonly #arrivals = new Map<string, number>();
  readonly #outputs = new WeakMap<Socket, Promise<void>>();
  readonly #lateCopies = new WeakMap<Socket, string>();
  readonly random: () => number;

  constructor(seed: number) {
    this.random = makeRandom(seed);
  }

  choose<T>(items: readonly T[]): T {
    return items[Math.floor(this.random() * items.length)]!;
  }

  readonly answer = ({ id, socket }: Arrival): void => {
    const late = this.#lateCopies.get(socket);
    this.#lateCopies.delete(socket);
    if (late !== undefined) {
      this.#count("copyBefore");
      this.#write(socket, late);
    }
    const draw = this.random();
    if (draw < 0.2) this.#write(socket, informational(id, 103));
    else if (draw < 0.3) this.#write(socket, informational(id, 102));
    else if (draw < 0.31) this.#write(socket, informational(id, 100));
    const arrivals = (this.#arrivals.get(id) ?? 0) + 1;
    this.#arrivals.set(id, arrivals);
    // Some are refused until their callers have to come back.
    const isFull = Number(id.slice(1)) % 3 === 0 && arrivals <= SENDS_MAX;
    if (isFull || this.random() < 0.35) {
      const status = this.choose(PROMISES);
      const extra = this.random() < 0.05
        ? "x-not-run: 1\r\nconnection: close\r\n"
        : "x-not-run: 1\r\n";
      this.#count("refusals");
      const hasId = this.random() < 0.9;
      const body = this.choose(["", "full"]);
      const bytes = answerBytes(hasId ? id : undefined, status, body, extra);
      const bare = answerBytes(undefined, status, body, extra);
      return this.#answer(socket, bytes, this.choose([bytes, bytes, bare]));
    }
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    if (this.runs.get(id)! > 1) this.faults.push(`${id} runs again`);
    if (this.#promised.has(id)) this.#count("ranAfterReturn");
    setTimeout(() => {
      const bytes = answerBytes(id, 200, `whole ${id}`, SEAL);
      this.#answer(socket, bytes, bytes);
    }, PAUSE_MAX_MS * this.random());
  };

  /** Judges the answer of one attempt of a caller. */
  judge(id: string, status: number, body: string): void {
    this.#count(`status${status}`);
    const isPromise = PROMISES.includes(status);
    if (isPromise) this.#promised.add(id);
    else this.#promised.delete(id);
    const runs = this.runs.get(id) ?? 0;
    if (isPromise && runs > 0) this.faults.push(`${id} ran, got ${status}`);
    if (status === 200 && body !== `whole ${id}`) {
      this.faults.push(`${id} got ${body}`);
    }
  }

  /** Judges what ran after the last answer of its caller. */
  judgeEnd(): void {
    for (const id of this.#promised) {
      if (this.runs.has(id)) this.faults.push(`${id} runs after a promise`);
    }
  }

  #count(name: string): void {
    this.counts[name] = (this.counts[name] ?? 0) + 1;
  }

  #answer(socket: Socket, bytes: string, copy: string): void {
    this.#write(socket, bytes);
    const draw = this.random();
    if (draw < 0.25) this.#lateCopies.set(socket, copy);
    else if (draw < 0.35) this.#write(socket, copy);
    else if (draw < 0.6) {
      this.#count("copyAround");
      const delayMs = PAUSE_MAX_MS * this.random();
      setTimeout(() => this.#write(socket, copy), delayMs);
    }
  }

  /** Writes whole, in two pieces or byte by byte, after what came before. */
  #write(socket: Socket, bytes: string): void {
    const before = this.#outputs.get(socket) ?? Promise.resolve();
    const draw = this.random();
    const cut = Math.floor(bytes.length * this.random());
    const pieces = draw < 0.5
      ? [bytes]
      : draw < 0.8
      ? [bytes.slice(0, cut), bytes.slice(cut)]
      : [...bytes];
    const write = async () => {
      await before;
      for (const piece of pieces) {
        if (socket.destroyed) return;
        socket.write(piece);
        await new Promise((resolve) => setImmediate(resolve));
      }
    };
    this.#outputs.set(socket, write());
  }
}

async function call(
  fleet: RawFleet,
  engines: DribblingEngines,
  id: string,
): Promise<void> {
  for (let attempt = 0; attempt <= RETURNS_MAX; attempt++) {
    const { status, body } = await fleet.ask(id, "unsafe");
    engines.judge(id, status, body);
    if (!PROMISES.includes(status)) return;
    await core.sleep(PAUSE_MAX_MS * engines.random());
  }
}

for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
  // Guards against an answer in pieces, or its copy, that counts for a sending
  // that it does not belong to.
  test.serial(`answers in pieces count for their own sendings alone, seed ${seed}`, async (t) => {
    const engines = new DribblingEngines(seed);
    const options = {
      connectionsMax: CONNECTIONS_MAX,
      choose: <T>(all: readonly T[]) => engines.choose(all),
    };
    await withFleet(
      [engines.answer, engines.answer],
      options,
      async (fleet) => {
        let next = 0;
        await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
          while (next < REQUESTS) await call(fleet, engines, `r${next++}`);
        }));
        await core.sleep(100);
        engines.judgeEnd();
        t.log(JSON.stringify({ seed, ...engines.counts }));
        t.deepEqual(engines.faults, []);
        t.true((engines.counts["status200"] ?? 0) > REQUESTS / 4);
        t.true((engines.counts["copyBefore"] ?? 0) > 20);
        t.true((engines.counts["copyAround"] ?? 0) > 20);
        t.true((engines.counts["ranAfterReturn"] ?? 0) > 2);
      },
    );
  });
}
