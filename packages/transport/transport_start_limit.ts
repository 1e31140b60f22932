/** Refuses to begin a request too late. */
import type { Dispatcher } from "undici";
import * as core from "../core/mod.ts";

/** A request was not begun, as its time had passed; no byte was sent. */
export class StartedTooLateError extends Error {
  override readonly name = "StartedTooLateError";
  readonly code = "STARTED_TOO_LATE";

  constructor() {
    super("the time for the request had passed before it was sent");
  }
}

function limitHandler(
  handler: Dispatcher.DispatchHandler,
  startBeforeMs: number,
): Dispatcher.DispatchHandler {
  return {
    // Called in the turn of the event loop in which the request is written.
    onRequestStart: (controller, context) => {
      handler.onRequestStart?.(controller, context);
      if (core.monotonicMs() < startBeforeMs) return;
      controller.abort(new StartedTooLateError());
    },
    onResponseStart: (...args) => handler.onResponseStart?.(...args),
    onResponseData: (...args) => handler.onResponseData?.(...args),
    onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
    onResponseError: (...args) => handler.onResponseError?.(...args),
  };
}

/**
 * Returns a dispatcher that does not begin requests from a time on. A process
 * that was held up finds connections open before its timers run, so that a
 * timeout alone would not keep it from sending what has expired meanwhile.
 *
 * @param startBeforeMs time of the monotonic clock.
 * @example
 * ```ts
 * const limited = transport.limitStart(agent, core.monotonicMs() + 400);
 * ```
 */
export function limitStart(
  dispatcher: Dispatcher,
  startBeforeMs: number,
): Dispatcher {
  return dispatcher.compose((dispatch) => (options, handler) =>
    dispatch(options, limitHandler(handler, startBeforeMs))
  );
}
