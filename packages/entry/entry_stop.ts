/** Waits for the end of requests in a planned stop. */
import * as core from "../core/mod.ts";
import type { CallerListener } from "./entry_caller_listener.ts";
import type { EntryState } from "./entry_state.ts";

/**
 * A request that still runs is ended this long before the grace period is, or
 * this share of it, which leaves the time in which callers accept that.
 */
const GRACE_MARGIN_MS = 400;
const GRACE_MARGIN_SHARE = 1 / 8;
/** The part of that in which responses are still written; then it exits. */
const FLUSH_SHARE = 1 / 2;
/** New requests are served in this share of the grace period at the longest. */
const LINGER_SHARE = 1 / 2;
const POLL_MS = 50;

/** How a node stops. */
export interface StopOptions {
  /** Time for which it still serves new requests; less if the grace is short. */
  readonly lingerMs: number;
  /** Whether nothing but requests keeps the node from ending. */
  readonly isHandedOver: () => boolean;
}

/**
 * Waits until no request is in flight. Those that still are shortly before the
 * end of the grace period are answered with an error or a rejection, as the
 * process would cut them off. Returns in the turn of the event loop in which it
 * has found none, so that the process can exit before it reads another one.
 *
 * @example
 * ```ts
 * await finishRequests(state, listener, { lingerMs, isHandedOver });
 * process.exit(0);
 * ```
 */
export async function finishRequests(
  state: EntryState,
  listener: CallerListener,
  { lingerMs, isHandedOver }: StopOptions,
): Promise<void> {
  const startedAtMs = core.monotonicMs();
  const { graceMs } = state.settings;
  const marginMs = Math.min(GRACE_MARGIN_MS, graceMs * GRACE_MARGIN_SHARE);
  const endsAtMs = startedAtMs + graceMs - marginMs;
  const lingersUntilMs = startedAtMs +
    Math.min(lingerMs, graceMs * LINGER_SHARE);
  listener.disableKeepAlive();
  listener.rejectNew(lingersUntilMs, endsAtMs);
  await pollUntil(
    endsAtMs,
    (nowMs) =>
      nowMs >= lingersUntilMs && state.requestsInFlight === 0 && isHandedOver(),
  );
  listener.endAll();
  await pollUntil(
    endsAtMs + marginMs * FLUSH_SHARE,
    () => state.requestsInFlight === 0,
  );
}

/** Waits for a condition, but not beyond a time of the monotonic clock. */
async function pollUntil(
  untilMs: number,
  isMet: (nowMs: number) => boolean,
): Promise<void> {
  for (;;) {
    const nowMs = core.monotonicMs();
    if (isMet(nowMs) || nowMs >= untilMs) return;
    await core.sleep(Math.min(POLL_MS, untilMs - nowMs));
  }
}
