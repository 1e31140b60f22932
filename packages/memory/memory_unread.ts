/** What is held of a connection before its bytes are parsed. */
import type { Socket } from "node:net";
import * as turns from "../turns/mod.ts";

/**
 * What the kernel may keep of a connection that is not read: its window, which
 * it raises to twice of what was read at once.
 */
const WINDOW_BYTES_MIN = 128 * 1024;
const WINDOW_BYTES_MAX = 512 * 1024;
const WINDOW_FACTOR = 2;

/**
 * Returns what is held for a connection while others wait for their turns to be
 * parsed: the bytes that were read, and those that the kernel keeps meanwhile.
 *
 * @example
 * ```ts
 * hold.setReading(body.heldBytes + memory.unreadBytes(socket), body.chunks);
 * ```
 */
export function unreadBytes(socket: Socket): number {
  const waitingBytes = turns.waitingBytes(socket);
  if (waitingBytes === undefined) return 0;
  const windowBytes = Math.min(
    WINDOW_BYTES_MAX,
    socket.bytesRead * WINDOW_FACTOR,
  );
  return waitingBytes + Math.max(WINDOW_BYTES_MIN, windowBytes);
}
