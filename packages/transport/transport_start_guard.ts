/** Refuses to begin requests that must not be sent any more. */
import type { Dispatcher } from "undici";

/** A request was not begun; no byte of it was sent. */
export class StartRefusedError extends Error {
  override readonly name = "StartRefusedError";

  constructor() {
    super("the request must not be sent any more");
  }
}

/**
 * Returns a dispatcher that asks right before it begins a request, which may
 * have waited for a connection. A refused one was not sent.
 *
 * @example
 * ```ts
 * const guarded = transport.guardStart(pool, () => !upstream.isLeaving);
 * ```
 */
export function guardStart(
  dispatcher: Dispatcher,
  mayStart: () => boolean,
): Dispatcher {
  return dispatcher.compose((dispatch) => (options, handler) =>
    dispatch(options, {
      onRequestStart: (controller, context) => {
        if (mayStart()) handler.onRequestStart?.(controller, context);
        else controller.abort(new StartRefusedError());
      },
      onResponseStart: (...args) => handler.onResponseStart?.(...args),
      onResponseData: (...args) => handler.onResponseData?.(...args),
      onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
      onResponseError: (...args) => handler.onResponseError?.(...args),
    })
  );
}
