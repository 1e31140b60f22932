/** Shares the turns of the event loop among connections that read much. */
import type { Socket } from "node:net";

/**
 * Bytes read of all connections in one turn of the event loop. A listener
 * accepts one connection in each turn, however long it takes.
 */
const TURN_BYTES_MAX = 256 * 1024;

/** Counts what a turn reads; the connections beyond its limit wait in line. */
class ReadTurns {
  #bytes = 0;
  readonly #waiting = new Set<Socket>();
  #isScheduled = false;
  #isReadingOn = false;

  /** Whether a connection is being read that had to wait for this turn. */
  get isReadingOn(): boolean {
    return this.#isReadingOn;
  }

  /**
   * Whether a connection may read these bytes now. If not, it emits "readable"
   * again in a later turn.
   */
  tryTake(socket: Socket, bytes: number): boolean {
    this.#schedule();
    if (this.#bytes < TURN_BYTES_MAX) {
      this.#bytes += bytes;
      return true;
    }
    // Nothing more, such as its end, is read from one that waits.
    if (!holdsMuch(socket)) return true;
    this.#waiting.add(socket);
    return false;
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => this.#beginTurn());
  }

  #beginTurn(): void {
    this.#isScheduled = false;
    this.#bytes = 0;
    this.#isReadingOn = true;
    try {
      for (const socket of this.#waiting) {
        if (this.#bytes >= TURN_BYTES_MAX) break;
        this.#waiting.delete(socket);
        if (!socket.destroyed) socket.emit("readable");
      }
    } finally {
      this.#isReadingOn = false;
      if (this.#waiting.size > 0) this.#schedule();
    }
  }
}

/** Whether so much is buffered that Node has stopped reading from the kernel. */
function holdsMuch(socket: Socket): boolean {
  return socket.readableLength >= socket.readableHighWaterMark;
}

/** Shared by all connections, as they share the event loop. */
export const readTurns = new ReadTurns();
