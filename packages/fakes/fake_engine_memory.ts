/** What a fake engine's accelerators hold, counted at every moment. */

/** The engine's fixed sizes. */
export interface FakeEngineSizes {
  readonly capacityBytes: number;
  readonly kvReserveBytes: number;
  readonly roleOverheadBytes: number;
}

/** Counts bytes and remembers every overcommitment. */
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
    this.#count();
  }

  /** Bytes in use now. */
  get usedBytes(): number {
    let sum = this.sizes.kvReserveBytes + this.sizes.roleOverheadBytes;
    for (const { weightBytes } of this.artifacts.values()) sum += weightBytes;
    return sum;
  }

  /** Takes the bytes of an artifact before its weights arrive. */
  reserve(artifactId: string, weightBytes: number): boolean {
    if (this.artifacts.has(artifactId)) return false;
    this.artifacts.set(artifactId, { weightBytes, ready: false });
    this.#count();
    return true;
  }

  /** Marks an artifact as loaded. */
  markReady(artifactId: string): void {
    const held = this.artifacts.get(artifactId);
    if (held) held.ready = true;
  }

  /** Gives an artifact's bytes back. */
  release(artifactId: string): void {
    this.artifacts.delete(artifactId);
  }

  /** Whether requests for the artifact can run. */
  isReady(artifactId: string): boolean {
    return this.artifacts.get(artifactId)?.ready ?? false;
  }

  #count(): void {
    this.peakBytes = Math.max(this.peakBytes, this.usedBytes);
    if (this.usedBytes > this.sizes.capacityBytes) this.overcommits++;
  }
}
