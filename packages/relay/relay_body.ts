/**
 * Buffers a caller's request body, so that a retry can send it again unchanged.
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import * as core from "../core/mod.ts";
import * as memory from "../memory/mod.ts";

/** Thrown when a body exceeds the configured limit. */
export class BodyTooLargeError extends Error {}

/** Thrown when a body takes many more bytes on its connection than it has. */
export class BodyFramingError extends Error {}

/** Thrown when a body has not arrived in time, or arrives too slowly. */
export class BodyTimeoutError extends Error {}

/** Thrown when a body was given up because the node is out of memory. */
export class BodyShedError extends Error {}

/** Bytes beside a body, such as chunk extensions, that any body may take. */
const FRAMING_BYTES_MAX = 256 * 1024;
/**
 * Likewise for each byte of the body. A chunk of one byte takes five bytes more,
 * and some clients write its size with leading zeros.
 */
const FRAMING_FACTOR_MAX = 16;

/** Whether the framing of a body takes more bytes than any client needs. */
function isFramingTooLarge(connectionBytes: number, bodyBytes: number) {
  const framingBytes = connectionBytes - bodyBytes;
  return framingBytes > FRAMING_BYTES_MAX + bodyBytes * FRAMING_FACTOR_MAX;
}

/**
 * Reads a request body to its end.
 *
 * @param bytesMax limit above which reading stops.
 * @param timeoutMs time in which the whole body has to arrive.
 * @param hold accounts for the memory; the body is given up if it is shed.
 * @throws BodyTooLargeError above the limit; BodyFramingError if its framing is
 * much larger than the body; BodyTimeoutError after the time, or
 * if the body makes too little progress; BodyShedError if the hold is shed; the
 * stream's own error if the caller disconnects.
 * @example
 * ```ts
 * const body = await relay.readBody(request, 4_194_304, 15_000);
 * ```
 */
export function readBody(
  request: IncomingMessage,
  bytesMax: number,
  timeoutMs: number,
  hold?: memory.RequestHold,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const body = new memory.BodyAssembler(memory.processMemory.blocks);
    const progress = new memory.BodyProgress(core.monotonicMs());
    const { socket } = request;
    const bytesBefore = socket.bytesRead;
    let isOver = false;
    let progressTimer: NodeJS.Timeout | undefined;
    const stop = () => {
      isOver = true;
      clearTimeout(timer);
      clearTimeout(progressTimer);
      request.off("data", onData).off("end", onEnd).off("error", fail);
      request.off("close", onClose);
    };
    const fail = (error: Error) => {
      if (isOver) return;
      stop();
      body.discard();
      reject(error);
    };
    const onData = (chunk: Buffer) => {
      if (body.length + chunk.length > bytesMax) {
        return fail(new BodyTooLargeError());
      }
      body.append(chunk);
      const connectionBytes = socket.bytesRead - bytesBefore;
      if (isFramingTooLarge(connectionBytes, body.length)) {
        return fail(new BodyFramingError());
      }
      progress.add(chunk.length);
      memory.processMemory.noteRead(chunk.length);
      hold?.setReading(
        body.heldBytes + memory.unreadBytes(socket),
        body.chunks,
      );
    };
    const onEnd = () => {
      // Blocks are copied into one buffer, and both exist for a moment.
      hold?.setReading(2 * body.heldBytes, body.chunks);
      if (isOver) return;
      stop();
      hold?.setRead(body.length);
      resolve(body.take());
    };
    const onClose = () => fail(new Error("the caller closed the connection"));
    const timer = setTimeout(() => fail(new BodyTimeoutError()), timeoutMs);
    const watchProgress = () => {
      progressTimer = setTimeout(async () => {
        // What arrived while the process was held up is read before this.
        await core.nextPoll();
        if (isOver) return;
        if (!progress.isFastEnough(core.monotonicMs())) {
          return fail(new BodyTimeoutError());
        }
        watchProgress();
      }, progress.remainingMs(core.monotonicMs()));
    };
    watchProgress();
    if (hold) hold.onShed = () => fail(new BodyShedError());
    request.on("data", onData).on("end", onEnd).on("error", fail);
    request.on("close", onClose);
    hold?.setReading(0, 0);
  });
}

/** Bytes of an unwanted body that are read and discarded. */
const DISCARDED_BYTES_MAX = 1024 * 1024;
/** Time for which an unwanted body is read and discarded. */
const DISCARD_TIMEOUT_MS = 2_000;

/**
 * Discards the rest of a body, because closing the connection at once could
 * lose the response that is on its way. Closes the connection if the body does
 * not end soon.
 *
 * @returns a promise that resolves when no more of the body is to be read.
 * @example
 * ```ts
 * relay.discardBody(request).then(() => reply.end());
 * ```
 */
export function discardBody(request: IncomingMessage): Promise<void> {
  return new Promise((resolve) => {
    let bytes = 0;
    const { socket } = request;
    const share = memory.processMemory.openDiscard(() => giveUp());
    const stop = () => {
      share.set(0);
      clearTimeout(timer);
      request.off("data", onData).off("close", stop).off("end", stop);
      resolve();
    };
    const giveUp = () => {
      stop();
      socket.destroy();
    };
    const onData = (chunk: Buffer) => {
      bytes += chunk.length;
      memory.processMemory.noteRead(chunk.length);
      if (bytes > DISCARDED_BYTES_MAX) return giveUp();
      share.set(memory.unreadBytes(socket));
    };
    const timer = setTimeout(giveUp, DISCARD_TIMEOUT_MS);
    request.on("data", onData).on("close", stop).on("end", stop);
    share.set(memory.unreadBytes(socket));
  });
}
