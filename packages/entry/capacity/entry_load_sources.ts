/** Measures the load of this process against what its machine has. */
import { readdir } from "node:fs/promises";
import type { Server } from "node:http";
import type { Socket } from "node:net";
import * as capacity from "../../capacity/mod.ts";
import * as memory from "../../memory/mod.ts";
import type * as fleet from "../../fleet/mod.ts";

/** Names of the descriptors that this process has open; only on Linux. */
const DESCRIPTORS_PATH = "/proc/self/fd";
/** Interval at which they are counted, which takes time with thousands. */
const DESCRIPTORS_INTERVAL_MS = 2_000;
const BYTES_PER_MB = 1_000_000;

/** Counts the open descriptors from time to time; 0 where that is not known. */
class DescriptorCounter {
  #count = 0;
  #isReading = false;
  #readAtMs = -Infinity;

  count(nowMs: number): number {
    const isDue = nowMs - this.#readAtMs >= DESCRIPTORS_INTERVAL_MS;
    if (isDue && !this.#isReading) {
      this.#isReading = true;
      this.#readAtMs = nowMs;
      readdir(DESCRIPTORS_PATH)
        .then((names) => this.#count = names.length, () => this.#count = 0)
        .finally(() => this.#isReading = false);
    }
    return this.#count;
  }
}

class DescriptorSource extends capacity.LimitSource {
  readonly #counter: DescriptorCounter;
  #nowMs = -Infinity;

  constructor(descriptorsMax: number) {
    const counter = new DescriptorCounter();
    super("descriptors", descriptorsMax, () => counter.count(this.#nowMs));
    this.#counter = counter;
  }

  override pressure(nowMs = this.#nowMs): number {
    this.#nowMs = nowMs;
    this.#counter.count(nowMs);
    return super.pressure();
  }
}

/** Bytes on the connections of callers. */
export class CallerBytes {
  readonly #sockets = new Set<Socket>();
  #writtenByClosed = 0;

  /** Counts the connections of a listener. */
  track(server: Server): void {
    server.on("connection", (socket: Socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => {
        this.#sockets.delete(socket);
        this.#writtenByClosed += socket.bytesWritten;
      });
    });
  }

  read(): capacity.LinkBytes {
    let written = this.#writtenByClosed;
    let waiting = 0;
    for (const socket of this.#sockets) {
      // Includes the bytes that wait in the process.
      written += socket.bytesWritten - socket.writableLength;
      waiting += socket.writableLength;
    }
    return { written, waiting };
  }
}

/**
 * Returns the sources of load that follow from what the machine has, and
 * how late the event loop is.
 *
 * @param intervalMs interval at which the sources are read.
 * @example
 * ```ts
 * const sources = makeLoadSources(settings.machine, callerBytes, 100);
 * ```
 */
export function makeLoadSources(
  machine: fleet.MachineSpec = {},
  callerBytes: CallerBytes,
  intervalMs: number,
): capacity.LoadSource[] {
  const { memoryMb, descriptorsMax, linkMbps } = machine;
  return [
    new capacity.LatenessSource(intervalMs),
    ...(memoryMb
      ? [
        new capacity.LimitSource(
          "memory",
          memoryMb * BYTES_PER_MB,
          () => memory.usedBytes(),
        ),
      ]
      : []),
    ...(descriptorsMax ? [new DescriptorSource(descriptorsMax)] : []),
    ...(linkMbps
      ? [new capacity.LinkSource(linkMbps, () => callerBytes.read())]
      : []),
  ];
}
