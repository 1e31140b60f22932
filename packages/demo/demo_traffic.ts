/** Callers that check every answer, as routers of another firm would. */
import * as core from "../core/mod.ts";
import * as testing from "../testing/mod.ts";

const RETRIES_MAX = 8;
const RETRY_PAUSE_MS = 60;

/** What the traffic came to. */
export interface TrafficReport {
  requests: number;
  completed: number;
  retries: number;
  metDeadline: number;
  /** Not answered whole after every retry. */
  failed: number;
  /** Answered with another request's content. */
  mismatched: number;
  /** Broken or cut off midway. */
  truncated: number;
  readonly orderKeys: string[];
}

/** Where callers are sent. */
export interface EntryList {
  /** Asks for the entries and keeps the answer as long as it allows. */
  nextOrigin(): Promise<string>;
}

/** Keeps the answer of `/v1/entries` and spreads calls over it. */
export class CachedEntryList implements EntryList {
  #origins: string[];
  #freshUntilMs = 0;
  #turn = 0;

  constructor(origins: readonly string[]) {
    this.#origins = [...origins];
  }

  async nextOrigin(): Promise<string> {
    if (core.monotonicMs() > this.#freshUntilMs) await this.#refresh();
    return this.#origins[this.#turn++ % this.#origins.length] ?? "";
  }

  async #refresh(): Promise<void> {
    const headers = {
      authorization: `Bearer ${testing.CALLER_TOKENS.kiosk}`,
    };
    for (const origin of this.#origins) {
      try {
        const answer = await fetch(`${origin}/v1/entries`, { headers });
        const body = await answer.json() as {
          entries: { address: string }[];
          maxAgeMs: number;
        };
        if (body.entries.length === 0) continue;
        this.#origins = body.entries.map(({ address }) => address);
        this.#freshUntilMs = core.monotonicMs() + body.maxAgeMs;
        return;
      } catch {
        // That instance is gone; the next one knows who is left.
      }
    }
  }
}

/** One kind of call; returns whether it was answered whole. */
type Call = (origin: string, n: number) => Promise<"ok" | "retry">;

/** Sends calls until told to stop. */
export class TrafficGenerator {
  readonly report: TrafficReport = {
    requests: 0,
    completed: 0,
    retries: 0,
    metDeadline: 0,
    failed: 0,
    mismatched: 0,
    truncated: 0,
    orderKeys: [],
  };
  readonly #entries: EntryList;
  readonly #models: readonly string[];
  readonly #deadlineMs: number;
  #stopped = false;
  readonly #running: Promise<void>[] = [];
  #count = 0;

  constructor(
    entries: EntryList,
    models: readonly string[],
    deadlineMs: number,
  ) {
    this.#entries = entries;
    this.#models = models;
    this.#deadlineMs = deadlineMs;
  }

  /** Starts callers that each send one call after another. */
  start(callers: number): void {
    const kinds: Call[] = [
      (origin, n) => this.#stream(origin, n),
      (origin, n) => this.#complete(origin, n),
      (origin, n) => this.#order(origin, n),
      (origin, n) => this.#stock(origin, n),
    ];
    for (let caller = 0; caller < callers; caller++) {
      const kind = kinds[caller % kinds.length];
      if (kind) this.#running.push(this.#loop(kind));
    }
  }

  /** Lets every call end. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#running);
  }

  async #loop(call: Call): Promise<void> {
    while (!this.#stopped) await this.#one(call, this.#count++);
  }

  async #one(call: Call, n: number): Promise<void> {
    this.report.requests++;
    const startedAtMs = core.monotonicMs();
    for (let attempt = 0; attempt < RETRIES_MAX; attempt++) {
      const end = await call(await this.#entries.nextOrigin(), n)
        .catch(() => "retry" as const);
      if (end === "ok") {
        this.report.completed++;
        const tookMs = core.monotonicMs() - startedAtMs;
        if (tookMs <= this.#deadlineMs) this.report.metDeadline++;
        return;
      }
      this.report.retries++;
      await core.sleep(RETRY_PAUSE_MS * (attempt + 1));
    }
    this.report.failed++;
  }

  #model(n: number): string {
    return this.#models[n % this.#models.length] ?? "";
  }

  async #stream(origin: string, n: number): Promise<"ok" | "retry"> {
    const tokens = 20 + n % 60;
    const call = { model: this.#model(n), prompt: `stream ${n}`, tokens };
    const end = await testing.stream(origin, call);
    if (end.status !== 200) return "retry";
    const expected = testing.expectedText(call);
    if (!expected.startsWith(end.text)) this.report.mismatched++;
    if (!end.whole) this.report.truncated++;
    return end.whole ? "ok" : "retry";
  }

  async #complete(origin: string, n: number): Promise<"ok" | "retry"> {
    const call = {
      model: this.#model(n),
      prompt: `complete ${n}`,
      token: testing.CALLER_TOKENS.dispatch,
    };
    const answer = await testing.complete(origin, call);
    if (answer.status !== 200) return "retry";
    const text = testing.textOf(answer);
    if (text !== testing.expectedText(call)) this.report.mismatched++;
    return "ok";
  }

  async #order(origin: string, n: number): Promise<"ok" | "retry"> {
    const key = `order-${n}`;
    const body = { lens: n };
    if (!this.report.orderKeys.includes(key)) this.report.orderKeys.push(key);
    const answer = await testing.callService(origin, {
      service: "orders",
      path: "dispense",
      body,
      key,
    });
    if (answer.status !== 200) return "retry";
    if (answer.body.echo !== JSON.stringify(body)) this.report.mismatched++;
    return "ok";
  }

  async #stock(origin: string, n: number): Promise<"ok" | "retry"> {
    const body = { shelf: n };
    const answer = await testing.callService(origin, {
      service: "stock",
      path: "lookup",
      body,
    });
    if (answer.status !== 200) return "retry";
    if (answer.body.echo !== JSON.stringify(body)) this.report.mismatched++;
    return "ok";
  }
}
