/** Keeps the resident memory of a process below what its machine has. */
import process from "node:process";
import * as v8 from "node:v8";
import * as vm from "node:vm";
import * as core from "../core/mod.ts";
import type { NodeMemory } from "./memory_account.ts";

const INTERVAL_MS = 100;
/** Part of the machine's memory above which garbage is collected at once. */
const COLLECT_PART = 0.75;
/** Part above which the account's limit is lowered as well. */
const SHED_PART = 0.88;
/** The account's limit meanwhile, relative to what it is otherwise. */
const PRESSURE = 0.5;
/**
 * Shortest time between two collections. A full one takes 10 to 150 ms,
 * depending on the processor.
 */
const COLLECT_INTERVAL_MS = 1_000;
/** Growth since the last collection that makes another one worth while. */
const GROWTH_BYTES_MIN = 4 * 1024 * 1024;

/** Resident memory beside the heap and its buffers, such as code. */
let nativeBytes: number | undefined;

/**
 * Returns the memory that this process uses. The C library keeps most of what is
 * freed for the next use, so resident memory alone stays high after a crowd has
 * left.
 *
 * @example
 * ```ts
 * const isFull = memory.usedBytes() > 0.9 * machineBytes;
 * ```
 */
export function usedBytes(): number {
  const { rss, heapTotal, external } = process.memoryUsage();
  nativeBytes ??= rss - heapTotal - external;
  return Math.min(rss, nativeBytes + heapTotal + external);
}

/** What a watch reads of its process, and may do to it. */
export abstract class WatchedProcess {
  /** Memory in use, without what was freed and is kept for the next use. */
  abstract usedBytes(): number;
  /** Collects all garbage. */
  abstract collect(): void;
  /** Collects what was allocated lately. */
  abstract collectYoung(): void;
}

/** The process that runs this. */
class OwnProcess extends WatchedProcess {
  readonly #collect: (options?: { type: "minor" }) => void;

  constructor() {
    super();
    // V8's collections are not exposed by default.
    v8.setFlagsFromString("--expose-gc");
    this.#collect = vm.runInNewContext("gc");
  }

  override usedBytes(): number {
    return usedBytes();
  }

  override collect(): void {
    this.#collect();
  }

  override collectYoung(): void {
    this.#collect({ type: "minor" });
  }
}

/** Collects garbage, then sheds load, as resident memory comes near its limit. */
export class MemoryWatch {
  readonly #memory: NodeMemory;
  readonly #logger: core.Logger;
  readonly #process: WatchedProcess;
  #collectedAtMs = -Infinity;
  #afterCollectionBytes = 0;
  #isUnderPressure = false;

  constructor(
    memory: NodeMemory,
    logger: core.Logger,
    watched: WatchedProcess = new OwnProcess(),
  ) {
    this.#memory = memory;
    this.#logger = logger;
    this.#process = watched;
  }

  /**
   * Starts watching; nothing is done while the machine's memory is not known.
   *
   * @example
   * ```ts
   * lifecycle.addCleanup(watch.start());
   * ```
   */
  start(): core.Cleanup {
    this.#memory.collectYoung = () => {
      const { memoryBytes } = this.#memory.limits;
      if (memoryBytes !== undefined) this.#process.collectYoung();
    };
    const timer = setInterval(
      () => this.check(core.monotonicMs()),
      INTERVAL_MS,
    );
    timer.unref();
    return () => {
      clearInterval(timer);
      this.#memory.collectYoung = () => {};
    };
  }

  /** Reads the memory in use and acts on it. */
  check(nowMs: number): void {
    const { memoryBytes } = this.#memory.limits;
    if (memoryBytes === undefined) return;
    let bytes = this.#process.usedBytes();
    const canCollect = nowMs - this.#collectedAtMs >= COLLECT_INTERVAL_MS &&
      bytes > this.#afterCollectionBytes + GROWTH_BYTES_MIN;
    if (bytes > memoryBytes * COLLECT_PART && canCollect) {
      this.#process.collect();
      bytes = this.#process.usedBytes();
      this.#collectedAtMs = nowMs;
      this.#afterCollectionBytes = bytes;
    }
    // It falls by what was shed, so it has to fall below the first mark to end.
    const part = this.#isUnderPressure ? COLLECT_PART : SHED_PART;
    this.#setPressure(bytes > memoryBytes * part, bytes);
  }

  #setPressure(isUnderPressure: boolean, bytes: number): void {
    if (isUnderPressure === this.#isUnderPressure) return;
    this.#isUnderPressure = isUnderPressure;
    this.#memory.setPressure(isUnderPressure ? PRESSURE : 1);
    const { heldBytes, bytesMax } = this.#memory;
    this.#logger.warn("memory_pressure", {
      active: isUnderPressure,
      usedBytes: bytes,
      heldBytes,
      bytesMax,
    });
  }
}
