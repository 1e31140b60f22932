/** A plain service that counts how often each keyed call ran. */
import { setTimeout as delay } from "node:timers/promises";
import { FakeServer } from "./fake_server.ts";

/** How a fake service behaves. */
export interface FakeServiceOptions {
  readonly service: string;
  readonly upstreamId: string;
  /** How long a call takes, in milliseconds. */
  readonly callMs: number;
  /** Other instances of the service, whose runs `/runs` adds in. */
  readonly siblingOrigins?: readonly string[];
}

/**
 * Faults: those of every fake, and `refuse` (says that it did not run),
 * `cutAfterRun`, `foreign` (answers for another attempt).
 */
export class FakeService extends FakeServer {
  /** Runs by `caller/key`. */
  readonly runs = new Map<string, number>();
  /** Runs by attempt id. */
  readonly attempts = new Map<string, number>();
  lastRunAtMs = 0;
  leavingSinceMs = 0;

  constructor(options: FakeServiceOptions) {
    super();
    this.app.get("/runs", async (c) => {
      const runs = Object.fromEntries(this.runs);
      for (const origin of options.siblingOrigins ?? []) {
        const answer = await fetch(`${origin}/runs`);
        const more = await answer.json() as Record<string, number>;
        for (const [key, count] of Object.entries(more)) {
          runs[key] = (runs[key] ?? 0) + count;
        }
      }
      return c.json(runs);
    });
    this.app.get("/attempts", (c) => c.json(Object.fromEntries(this.attempts)));
    this.app.post("/leave", (c) => {
      this.leavingSinceMs = Date.now();
      return c.json({});
    });
    this.app.get("/counts", (c) =>
      c.json({
        calls: [...this.attempts.values()].reduce((sum, n) => sum + n, 0),
        lateWorkMs: this.leavingSinceMs === 0
          ? 0
          : Math.max(0, this.lastRunAtMs - this.leavingSinceMs),
      }));
    this.app.post("*", async (c) => {
      const attemptId = c.req.header("x-request-id") ?? "none";
      const bodyText = await c.req.text();
      if (this.faults.consume("refuse", bodyText)) {
        c.header("x-not-run", "1");
        return c.text("refused", 503);
      }
      const caller = c.req.header("x-caller-id") ?? "none";
      const key = c.req.header("idempotency-key");
      const runId = `${caller}/${key ?? attemptId}`;
      this.runs.set(runId, (this.runs.get(runId) ?? 0) + 1);
      this.attempts.set(attemptId, (this.attempts.get(attemptId) ?? 0) + 1);
      this.lastRunAtMs = Date.now();
      const slow = this.faults.consume("slowRun", bodyText);
      await delay(slow?.delayMs ?? options.callMs);
      if (this.faults.consume("cutAfterRun", bodyText)) return this.cut(c);
      const foreign = this.faults.consume("foreign", bodyText);
      c.header("x-request-id", foreign ? "at-someone-else" : attemptId);
      return c.json({
        service: options.service,
        upstreamId: options.upstreamId,
        caller,
        key,
        echo: bodyText,
      });
    });
  }
}
