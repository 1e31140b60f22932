import test from "ava";
import { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import * as core from "../../../core/mod.ts";
import * as relay from "../../mod.ts";
import { RelayRetries } from "../../relay_retries.ts";
import {
  ListedSelector,
  PlainDialect,
  silentLogger,
} from "../relay_harness.ts";

const SILENCE_MS = 300;
/** Part of the wait in which a request is usually sent. */
const SENDING_MS = 100;

/** Notes when another upstream is sought for a request. */
class NotingSelector extends ListedSelector {
  readonly soughtAtMs: Promise<number>;
  #note!: (atMs: number) => void;

  constructor() {
    super([], new relay.UpstreamPools(), {});
    this.soughtAtMs = new Promise((resolve) => {
      this.#note = resolve;
    });
  }

  override trySelectRetry(): undefined {
    this.#note(core.monotonicMs());
    return undefined;
  }
}

// Guards against a request that this process sent late, as it was held up, and
// that counts as unanswered from the moment in which it should have been sent.
test("an upstream is not left for the time before it was sent the request", async (t) => {
  const selector = new NotingSelector();
  const nowMs = core.monotonicMs();
  const retries = new RelayRetries(
    {
      caller: {
        requestId: core.brandId<core.RequestId>("id-1"),
        promptTokens: 0,
        outputTokensMax: 0,
        promptParts: [],
        forwardedHeaders: {},
      },
      route: {
        name: "r",
        host: "h",
        pathPrefix: "/",
        kind: "safe",
        timeoutMs: 5_000,
        latencyTargetMs: SILENCE_MS,
        eventGapTargetMs: 300,
        priority: 0,
        targets: [],
        attemptsMax: 2,
        isResumable: false,
      },
      service: core.brandId<core.ServiceName>("s"),
      method: "GET",
      path: "/",
      body: Buffer.alloc(0),
      receivedAtMs: nowMs,
      deadlineAtMs: nowMs + 5_000,
    },
    { dialect: new PlainDialect(), selector, logger: silentLogger },
    new AbortController().signal,
  );
  let handler!: Dispatcher.DispatchHandler;
  const attempt = relay.startAttempt(
    {
      dispatch: (_options, given) => {
        handler = given;
        return true;
      },
    },
    { path: "/", method: "GET", headers: {}, body: null },
  );
  const watch = retries.watchAttempt(
    attempt,
    core.brandId<core.UpstreamId>("u"),
    () => ({ hasStarted: false }),
  );
  void watch.during(attempt.head);
  const controller = { abort: () => {} } as unknown;
  const sentAtMs = new Promise<number>((resolve) =>
    // The connection opens in the first poll after the process was held up.
    setImmediate(() => {
      handler.onRequestStart?.(
        controller as Dispatcher.DispatchController,
        {},
      );
      resolve(core.monotonicMs());
    })
  );
  const untilMs = nowMs + 2 * SILENCE_MS;
  while (core.monotonicMs() < untilMs);
  const waitedMs = await selector.soughtAtMs - await sentAtMs;
  watch.stop();
  t.true(waitedMs >= SILENCE_MS - SENDING_MS, `sought after ${waitedMs} ms`);
});
