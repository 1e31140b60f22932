/** Reads the bodies of callers' requests within the memory of the process. */
import type { EventEmitter } from "node:events";
import type { IncomingMessage } from "node:http";
import type { MiddlewareHandler } from "hono";
import * as core from "../core/mod.ts";
import * as memory from "../memory/mod.ts";
import * as relay from "../relay/mod.ts";
import { problemResponse } from "./gateway_request.ts";
import type { GatewayDependencies, GatewayEnv } from "./gateway_types.ts";

/** Time in which a whole body has to arrive. */
const BODY_TIMEOUT_MS = 60_000;
/** Retry-After if the process is out of memory. */
const FULL_RETRY_AFTER_MS = 500;
/** Bytes for each byte of a body: its text, the parsed value, and the rewrite. */
const TEXT_FACTOR = 4;
const BODILESS_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD"]);

function outOfMemory(): core.Failure {
  return core.refuse(
    core.INSTANCE_FULL,
    memory.OUT_OF_MEMORY,
    FULL_RETRY_AFTER_MS,
  );
}

function failureOf(
  { kind, reason }: relay.BodyFailure,
  bytesMax: number,
): core.Failure {
  if (kind === "shed") return outOfMemory();
  return kind === "tooLarge"
    ? core.refuse(core.BODY_TOO_LARGE, `the body may have ${bytesMax} bytes`)
    : core.refuse(core.BODY_TOO_SLOW, reason);
}

/**
 * Closes a hold with its response or its connection. A response that waits
 * behind others of its connection does not see that close.
 */
function closeWith(
  hold: memory.RequestHold,
  { socket }: IncomingMessage,
  outgoing: EventEmitter,
): void {
  const close = () => {
    hold.close();
    outgoing.off("close", close);
    socket.off("close", close);
  };
  outgoing.once("close", close);
  socket.once("close", close);
}

/**
 * Makes the middleware that reads each request's body before its handler runs.
 *
 * @example
 * ```ts
 * app.use("*", readBodies(dependencies));
 * ```
 */
export function readBodies(
  dependencies: GatewayDependencies,
): MiddlewareHandler<GatewayEnv> {
  const { settings, limitReporter: reporter } = dependencies;
  const bytesMax = settings.limits.bodyMaxBytes;
  return async (context, next) => {
    const { incoming, outgoing } = context.env;
    if (BODILESS_METHODS.has(context.req.method)) return await next();
    const declaredBytes = Number(incoming.headers["content-length"] ?? 0);
    if (declaredBytes > bytesMax) {
      reporter.note("body_bytes", { max: bytesMax });
      const failure = { kind: "tooLarge", reason: "" } as const;
      return problemResponse(context, failureOf(failure, bytesMax));
    }
    const hold = memory.processMemory.openRequest(reporter);
    if (!hold) return problemResponse(context, outOfMemory());
    closeWith(hold, incoming as IncomingMessage, outgoing);
    const body = await relay.receiveBody(incoming as IncomingMessage, {
      bytesMax,
      timeoutMs: BODY_TIMEOUT_MS,
      hold,
      reporter,
    });
    if (body.isErr()) {
      return problemResponse(context, failureOf(body.error, bytesMax));
    }
    hold.onShed = () => {
      reporter.noteShed(memory.processMemory);
      outgoing.destroy();
    };
    hold.setRead(body.value.length * TEXT_FACTOR);
    // The adapter makes the request's body of this.
    Object.assign(incoming, { rawBody: body.value });
    return await next();
  };
}
