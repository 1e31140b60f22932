/** One account of the memory that a process holds for anyone. */
import * as core from "../core/mod.ts";
import { BlockPool } from "./memory_blocks.ts";
import type { LimitReporter } from "./memory_reporter.ts";
import {
  deriveLimits,
  type NodeLimits,
  REQUEST_BYTES,
} from "./memory_limits.ts";

/**
 * How much sooner a request is shed whose body is still being read, relative to
 * what it holds, than one that waits, runs, or is being answered.
 */
const READING_FACTOR = 4;
/** Likewise for a body of which nothing arrived for this time. */
const STALLED_FACTOR = 4;
const STALLED_MS = 1_000;
/** Likewise for the rest of a body whose client has been answered. */
const DISCARDED_FACTOR = 1_000;
/** Counts for each chunk when choosing what to shed, for the time it took. */
const CHUNK_RANK_BYTES = 16;

/**
 * Bytes read between two young collections, as a part of the account's limit.
 * V8 makes one by itself only after 32 MB, whatever the size of its semi-spaces:
 * a fifth of a small machine.
 */
const COLLECT_PART = 1 / 16;

/** What one request holds, from the start of its body to the end. */
export class RequestHold {
  /** Called when the request is shed; everything counts as released then. */
  onShed: () => void = () => {};
  readonly #share: core.MemoryShare;
  readonly #onClose: (hold: RequestHold) => void;
  #isReading = true;
  #isShed = false;
  #chunks = 0;
  #progressAtMs = core.monotonicMs();

  constructor(
    budget: core.MemoryBudget,
    onClose: (hold: RequestHold) => void,
  ) {
    this.#onClose = onClose;
    this.#share = budget.open(
      () => this.#onEvicted(),
      (bytes) => this.#rank(bytes),
    );
  }

  /** Whether its body is still being read. */
  get isReading(): boolean {
    return this.#isReading;
  }

  /** Whether it was shed. */
  get isShed(): boolean {
    return this.#isShed;
  }

  /** Records what is held for the body, which is shed if that is too much. */
  setReading(bytes: number, chunks: number): void {
    this.#chunks = chunks;
    this.#progressAtMs = core.monotonicMs();
    this.#share.set(bytes + REQUEST_BYTES);
  }

  /** Records that the whole body, with this length, has been read. */
  setRead(bytes: number): void {
    this.#isReading = false;
    this.#share.set(bytes + REQUEST_BYTES);
  }

  /** Sheds the request. */
  shed(): void {
    this.#share.evict();
  }

  /** Releases all; further calls do nothing. */
  close(): void {
    this.onShed = () => {};
    this.#share.set(0);
    this.#onClose(this);
  }

  /** What holds most and has begun least is shed first. */
  get rank(): number {
    return this.#share.rank;
  }

  #onEvicted(): void {
    this.#isReading = false;
    this.#isShed = true;
    this.onShed();
  }

  #rank(bytes: number): number {
    if (!this.#isReading) return bytes;
    const isStalled = core.monotonicMs() - this.#progressAtMs > STALLED_MS;
    return (bytes + this.#chunks * CHUNK_RANK_BYTES) * READING_FACTOR *
      (isStalled ? STALLED_FACTOR : 1);
  }
}

/** The account of one process; parts of it have limits of their own. */
export class NodeMemory {
  #limits: NodeLimits;
  readonly #whole: core.MemoryBudget;
  /** What upstreams send and clients have not read. */
  readonly responses: core.MemoryBudget;
  /** What other nodes send. */
  readonly messages: core.MemoryBudget;
  readonly blocks: BlockPool;
  readonly #connections: core.MemoryShare;
  readonly #requests = new Set<RequestHold>();
  #pressure = 1;
  #bytesRead = 0;
  /** Collects short-lived buffers; does nothing unless a watch sets it. */
  collectYoung: () => void = () => {};

  constructor(limits: NodeLimits = deriveLimits({})) {
    this.#limits = limits;
    this.#whole = new core.MemoryBudget(limits.accountBytes);
    this.responses = new core.MemoryBudget(limits.responseBytes, this.#whole);
    this.messages = new core.MemoryBudget(limits.messageBytes, this.#whole);
    this.blocks = new BlockPool(this.#whole);
    // Connections are limited by number, and never shed by their memory.
    this.#connections = this.#whole.open(() => {}, () => 0);
  }

  get limits(): NodeLimits {
    return this.#limits;
  }

  /** Bytes held, unused blocks included. */
  get heldBytes(): number {
    return this.#whole.bytes;
  }

  /** Limit of the bytes held at the moment. */
  get bytesMax(): number {
    return this.#whole.bytesMax;
  }

  get requestCount(): number {
    return this.#requests.size;
  }

  /**
   * Applies the limits of the machine.
   *
   * @example
   * ```ts
   * memory.processMemory.configure(memory.deriveLimits(settings.machine));
   * ```
   */
  configure(limits: NodeLimits): void {
    this.#limits = limits;
    this.responses.setMax(limits.responseBytes);
    this.messages.setMax(limits.messageBytes);
    this.setPressure(this.#pressure);
  }

  /**
   * Lowers the limit while the process needs more memory than is accounted for.
   *
   * @param part of the limit that remains, from 0 to 1.
   */
  setPressure(part: number): void {
    this.#pressure = part;
    this.#whole.setMax(this.#limits.accountBytes * part);
  }

  /** Records bytes that were read into a buffer that is used for a moment. */
  noteRead(bytes: number): void {
    this.#bytesRead += bytes;
    if (this.#bytesRead < this.#limits.accountBytes * COLLECT_PART) return;
    this.#bytesRead = 0;
    this.collectYoung();
  }

  /** Adds to, or subtracts from, what connections take. */
  addConnections(bytes: number): void {
    this.#connections.set(this.#connections.bytes + bytes);
  }

  /**
   * Opens a share for a body that is read only to be discarded, after its client
   * was answered.
   *
   * @param evict closes the connection.
   * @example
   * ```ts
   * const share = memory.processMemory.openDiscard(() => socket.destroy());
   * ```
   */
  openDiscard(evict: () => void): core.MemoryShare {
    return this.#whole.open(evict, (bytes) => bytes * DISCARDED_FACTOR);
  }

  /**
   * Opens the hold of a request. If there are too many, the one that holds most
   * and has begun least is shed for it.
   *
   * @param reporter told if there are too many.
   * @returns undefined if all others have begun more.
   * @example
   * ```ts
   * const hold = memory.processMemory.openRequest(reporter);
   * if (!hold) return reject(503);
   * ```
   */
  openRequest(reporter?: LimitReporter): RequestHold | undefined {
    const { requestsMax } = this.#limits;
    if (this.#requests.size >= requestsMax) {
      reporter?.note("requests", { max: requestsMax });
      if (!this.shedReading()) return undefined;
    }
    const hold = new RequestHold(
      this.#whole,
      (closed) => this.#requests.delete(closed),
    );
    this.#requests.add(hold);
    return hold;
  }

  /**
   * Sheds the request that holds most among those whose body is being read.
   *
   * @returns false if there is none.
   */
  shedReading(): boolean {
    let largest: RequestHold | undefined;
    for (const hold of this.#requests) {
      if (!hold.isReading) continue;
      if (!largest || hold.rank > largest.rank) largest = hold;
    }
    if (!largest) return false;
    // It may be closed only when its client has been answered.
    this.#requests.delete(largest);
    largest.shed();
    return true;
  }
}

/** Shared by all listeners, as they share the process's memory. */
export const processMemory = new NodeMemory();
