/** Fake of a plain service that counts how often each keyed call ran. */
import { setTimeout as delay } from "node:timers/promises";
import { FakeServer } from "./fake_server.ts";

/** Behaviour of a fake service; also its command-line options. */
export interface FakeServiceOptions {
  readonly service: string;
  readonly upstreamId: string;
  /** Duration of a call, in ms. */
  readonly callMs: number;
  /** Origins of the other instances, whose runs `/runs` includes. */
  readonly siblingOrigins?: readonly string[];
}

/**
 * A plain service. Faults besides those of `FakeServer`: `refuse` (503 with
 * `x-not-run`), `slowRun` (the call takes `delayMs`), `cutAfterRun` (connection
 * closed after the run), `foreign` (the response has another attempt's id),
 * `busyAfterRun` (503 after the run).
 */
export class FakeService extends FakeServer {
  /** Number of runs by `caller/key`. */
  readonly runs = new Map<string, number>();
  /** Number of runs by attempt id. */
  readonly attempts = new Map<string, number>();
  lastRunAtMs = 0;
  leavingSinceMs = 0;

  constructor(options: FakeServiceOptions) {
    super();
    this.app.get("/runs", async (c) => {
      const runs = Object.fromEntries(this.runs);
      for (const origin of options.siblingOrigins ?? []) {
        const response = await fetch(`${origin}/runs`);
        const siblingRuns = await response.json() as Record<string, number>;
        for (const [key, count] of Object.entries(siblingRuns)) {
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
      const slowRun = this.faults.consume("slowRun", bodyText);
      await delay(slowRun?.delayMs ?? options.callMs);
      if (this.faults.consume("cutAfterRun", bodyText)) {
        return this.cutConnection(c);
      }
      if (this.faults.consume("busyAfterRun", bodyText)) {
        c.header("x-request-id", attemptId);
        return c.text("busy", 503);
      }
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
