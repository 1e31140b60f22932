/**
 * Load generator: concurrent callers that retry failed calls and verify the
 * content of every response, as an external router would.
 */
import * as core from "../core/mod.ts";
import * as testing from "../testing/mod.ts";

const ATTEMPTS_MAX = 8;
const RETRY_DELAY_MS = 60;

/** Counts over all calls. */
export interface TrafficReport {
  requests: number;
  completed: number;
  retries: number;
  metDeadline: number;
  /** Calls without a complete response after the last attempt. */
  failed: number;
  /** Responses with the content of another request. */
  mismatched: number;
  /** Streams that failed or ended before their last event. */
  truncated: number;
  /** Idempotency keys of the orders sent. */
  readonly orderKeys: string[];
}

/** Chooses the entry instance of each call. */
export interface EntryList {
  /** Returns the origin of the next entry instance to call. */
  nextOrigin(): Promise<string>;
}

/**
 * Selects entry instances in turn, from a response of `/v1/entries` that is
 * cached for its `maxAgeMs`.
 */
export class CachedEntryList implements EntryList {
  #origins: string[];
  #freshUntilMs = 0;
  #nextIndex = 0;

  constructor(origins: readonly string[]) {
    this.#origins = [...origins];
  }

  async nextOrigin(): Promise<string> {
    if (core.monotonicMs() > this.#freshUntilMs) await this.#refresh();
    return this.#origins[this.#nextIndex++ % this.#origins.length] ?? "";
  }

  async #refresh(): Promise<void> {
    const headers = {
      authorization: `Bearer ${testing.CALLER_TOKENS.kiosk}`,
    };
    for (const origin of this.#origins) {
      try {
        const response = await fetch(`${origin}/v1/entries`, { headers });
        const body = await response.json() as {
          entries: { address: string }[];
          maxAgeMs: number;
        };
        if (body.entries.length === 0) continue;
        this.#origins = body.entries.map(({ address }) => address);
        this.#freshUntilMs = core.monotonicMs() + body.maxAgeMs;
        return;
      } catch {
        // This instance is unavailable; the next one lists those that remain.
      }
    }
  }
}

/** Sends call `n`; resolves to "ok" if the response was complete. */
type SendCall = (origin: string, n: number) => Promise<"ok" | "retry">;

/** Runs concurrent callers until it is stopped, and counts the outcomes. */
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
  #isStopped = false;
  readonly #callers: Promise<void>[] = [];
  #callCount = 0;

  constructor(
    entries: EntryList,
    models: readonly string[],
    deadlineMs: number,
  ) {
    this.#entries = entries;
    this.#models = models;
    this.#deadlineMs = deadlineMs;
  }

  /**
   * Starts callers that each send one call after another. Each caller sends one
   * kind of call: streams, completions, orders and lookups, assigned in turn.
   */
  start(callers: number): void {
    const senders: SendCall[] = [
      (origin, n) => this.#sendStream(origin, n),
      (origin, n) => this.#sendCompletion(origin, n),
      (origin, n) => this.#sendOrder(origin, n),
      (origin, n) => this.#sendLookup(origin, n),
    ];
    for (let caller = 0; caller < callers; caller++) {
      const sender = senders[caller % senders.length];
      if (sender) this.#callers.push(this.#runCaller(sender));
    }
  }

  /** Stops sending and waits until every call has ended. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#callers);
  }

  async #runCaller(send: SendCall): Promise<void> {
    while (!this.#isStopped) {
      await this.#sendWithRetries(send, this.#callCount++);
    }
  }

  async #sendWithRetries(send: SendCall, n: number): Promise<void> {
    this.report.requests++;
    const startedAtMs = core.monotonicMs();
    for (let attempt = 0; attempt < ATTEMPTS_MAX; attempt++) {
      const outcome = await send(await this.#entries.nextOrigin(), n)
        .catch(() => "retry" as const);
      if (outcome === "ok") {
        this.report.completed++;
        const tookMs = core.monotonicMs() - startedAtMs;
        if (tookMs <= this.#deadlineMs) this.report.metDeadline++;
        return;
      }
      this.report.retries++;
      await core.sleep(RETRY_DELAY_MS * (attempt + 1));
    }
    this.report.failed++;
  }

  #modelFor(n: number): string {
    return this.#models[n % this.#models.length] ?? "";
  }

  async #sendStream(origin: string, n: number): Promise<"ok" | "retry"> {
    const tokens = 20 + n % 60;
    const call = { model: this.#modelFor(n), prompt: `stream ${n}`, tokens };
    const result = await testing.stream(origin, call);
    if (result.status !== 200) return "retry";
    const expected = testing.expectedText(call);
    if (!expected.startsWith(result.text)) this.report.mismatched++;
    if (!result.isComplete) this.report.truncated++;
    return result.isComplete ? "ok" : "retry";
  }

  async #sendCompletion(origin: string, n: number): Promise<"ok" | "retry"> {
    const call = {
      model: this.#modelFor(n),
      prompt: `complete ${n}`,
      token: testing.CALLER_TOKENS.dispatch,
    };
    const response = await testing.complete(origin, call);
    if (response.status !== 200) return "retry";
    const text = testing.completionText(response);
    if (text !== testing.expectedText(call)) this.report.mismatched++;
    return "ok";
  }

  async #sendOrder(origin: string, n: number): Promise<"ok" | "retry"> {
    const key = `order-${n}`;
    const body = { lens: n };
    if (!this.report.orderKeys.includes(key)) this.report.orderKeys.push(key);
    const response = await testing.callService(origin, {
      service: "orders",
      path: "dispense",
      body,
      key,
    });
    if (response.status !== 200) return "retry";
    if (response.body.echo !== JSON.stringify(body)) this.report.mismatched++;
    return "ok";
  }

  async #sendLookup(origin: string, n: number): Promise<"ok" | "retry"> {
    const body = { shelf: n };
    const response = await testing.callService(origin, {
      service: "stock",
      path: "lookup",
      body,
    });
    if (response.status !== 200) return "retry";
    if (response.body.echo !== JSON.stringify(body)) this.report.mismatched++;
    return "ok";
  }
}
