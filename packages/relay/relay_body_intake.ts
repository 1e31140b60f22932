/** Reads a caller's body and reports the limits that it exceeds. */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import * as core from "../core/mod.ts";
import * as memory from "../memory/mod.ts";
import {
  BodyFramingError,
  BodyShedError,
  BodyTimeoutError,
  BodyTooLargeError,
  readBody,
} from "./relay_body.ts";

/** Why a body was not read; `left`: the caller closed its connection. */
export interface BodyFailure {
  readonly kind: "tooLarge" | "tooSlow" | "shed" | "left";
  readonly reason: string;
}

/** What a body may take. */
export interface BodyLimits {
  readonly bytesMax: number;
  readonly timeoutMs: number;
  readonly hold: memory.RequestHold;
  readonly reporter: memory.LimitReporter;
}

/**
 * Reads a body to its end.
 *
 * @example
 * ```ts
 * const body = await relay.receiveBody(request, limits);
 * if (body.isErr()) return reject(STATUSES[body.error.kind]);
 * ```
 */
export async function receiveBody(
  request: IncomingMessage,
  { bytesMax, timeoutMs, hold, reporter }: BodyLimits,
): Promise<Result<Buffer, BodyFailure>> {
  const client = request.socket.remoteAddress;
  try {
    return ok(await readBody(request, bytesMax, timeoutMs, hold));
  } catch (thrown) {
    if (thrown instanceof BodyTooLargeError) {
      reporter.note("body_bytes", { max: bytesMax, client });
      return err({ kind: "tooLarge", reason: "request body too large" });
    }
    if (thrown instanceof BodyFramingError) {
      reporter.note("body_framing", { client });
      return err({
        kind: "tooLarge",
        reason: "request body framing too large",
      });
    }
    if (thrown instanceof BodyTimeoutError) {
      reporter.note("body_rate", { client });
      return err({ kind: "tooSlow", reason: "request body not read in time" });
    }
    if (thrown instanceof BodyShedError) {
      reporter.noteShed(memory.processMemory);
      return err({ kind: "shed", reason: memory.OUT_OF_MEMORY });
    }
    return err({ kind: "left", reason: core.messageOf(thrown) });
  }
}
