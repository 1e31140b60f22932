/** Reads the bodies of callers' requests within the memory of the process. */
import { err, ok, type Result } from "neverthrow";
import type { Buffer } from "node:buffer";
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
    "out of memory",
    FULL_RETRY_AFTER_MS,
  );
}

/** Reads bodies; each request holds memory until its response has ended. */
class BodyReader {
  readonly #bytesMax: number;
  readonly #reporter: memory.LimitReporter;

  constructor({ settings, limitReporter }: GatewayDependencies) {
    this.#bytesMax = settings.limits.bodyMaxBytes;
    this.#reporter = limitReporter;
  }

  async read(
    request: IncomingMessage,
    hold: memory.RequestHold,
  ): Promise<Result<Buffer, core.Failure>> {
    const bytesMax = this.#bytesMax;
    try {
      const declaredBytes = Number(request.headers["content-length"] ?? 0);
      if (declaredBytes > bytesMax) throw new relay.BodyTooLargeError();
      return ok(await relay.readBody(request, bytesMax, BODY_TIMEOUT_MS, hold));
    } catch (thrown) {
      if (thrown instanceof relay.BodyTooLargeError) {
        this.#reporter.note("body_bytes", { max: bytesMax });
        const detail = `the body may have ${bytesMax} bytes`;
        return err(core.refuse(core.BODY_TOO_LARGE, detail));
      }
      if (thrown instanceof relay.BodyShedError) {
        this.noteShed();
        return err(outOfMemory());
      }
      if (thrown instanceof relay.BodyTimeoutError) {
        this.#reporter.note("body_rate");
      }
      return err(core.refuse(core.BODY_TOO_SLOW, core.messageOf(thrown)));
    }
  }

  noteShed(): void {
    const { heldBytes, bytesMax } = memory.processMemory;
    this.#reporter.note("memory", { heldBytes, bytesMax });
  }

  noteFull(): void {
    const max = memory.processMemory.limits.requestsMax;
    this.#reporter.note("requests", { max });
  }
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
  const reader = new BodyReader(dependencies);
  return async (context, next) => {
    const { incoming, outgoing } = context.env;
    if (BODILESS_METHODS.has(context.req.method)) return await next();
    const hold = memory.processMemory.openRequest();
    if (!hold) {
      reader.noteFull();
      return problemResponse(context, outOfMemory());
    }
    outgoing.once("close", () => hold.close());
    const body = await reader.read(incoming as IncomingMessage, hold);
    if (body.isErr()) return problemResponse(context, body.error);
    hold.onShed = () => {
      reader.noteShed();
      outgoing.destroy();
    };
    hold.setRead(body.value.length * TEXT_FACTOR);
    // The adapter makes the request's body of this.
    Object.assign(incoming, { rawBody: body.value });
    return await next();
  };
}
