/** Accelerator memory of a fake engine, with a count of overcommitments. */

/** Fixed memory sizes of an engine. */
export interface FakeEngineSizes {
  readonly capacityBytes: number;
  readonly kvReserveBytes: number;
  readonly roleOverheadBytes: number;
}

/** Tracks the memory in use and records each overcommitment. */
export class FakeEngineMemory {
  readonly sizes: FakeEngineSizes;
  readonly artifacts = new Map<
    string,
    { weightBytes: number; ready: boolean }
  >();
  overcommits = 0;
  peakBytes = 0;

  constructor(sizes: FakeEngineSizes) {
    this.sizes = sizes;
    this.#updateCounters();
  }

  /** Bytes in use, including the KV cache reserve and the role's overhead. */
  get usedBytes(): number {
    let sum = this.sizes.kvReserveBytes + this.sizes.roleOverheadBytes;
    for (const { weightBytes } of this.artifacts.values()) sum += weightBytes;
    return sum;
  }

  /**
   * Reserves the bytes of an artifact before its weights arrive. Returns false
   * if they are reserved already.
   */
  reserve(artifactId: string, weightBytes: number): boolean {
    if (this.artifacts.has(artifactId)) return false;
    this.artifacts.set(artifactId, { weightBytes, ready: false });
    this.#updateCounters();
    return true;
  }

  /** Marks an artifact as loaded, so that requests for it can run. */
  markReady(artifactId: string): void {
    const artifact = this.artifacts.get(artifactId);
    if (artifact) artifact.ready = true;
  }

  /** Frees the bytes of an artifact. */
  release(artifactId: string): void {
    this.artifacts.delete(artifactId);
  }

  /** Whether requests for the artifact can run. */
  isReady(artifactId: string): boolean {
    return this.artifacts.get(artifactId)?.ready ?? false;
  }

  #updateCounters(): void {
    this.peakBytes = Math.max(this.peakBytes, this.usedBytes);
    if (this.usedBytes > this.sizes.capacityBytes) this.overcommits++;
  }
}
