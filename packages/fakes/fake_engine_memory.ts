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
  readonly held = new Map<string, { weightBytes: number; ready: boolean }>();
  overcommits = 0;
  peakBytes = 0;

  constructor(sizes: FakeEngineSizes) {
    this.sizes = sizes;
    this.#count();
  }

  /** Bytes in use now. */
  get usedBytes(): number {
    let sum = this.sizes.kvReserveBytes + this.sizes.roleOverheadBytes;
    for (const { weightBytes } of this.held.values()) sum += weightBytes;
    return sum;
  }

  /** Takes the bytes of an artifact before its weights arrive. */
  take(artifactId: string, weightBytes: number): boolean {
    if (this.held.has(artifactId)) return false;
    this.held.set(artifactId, { weightBytes, ready: false });
    this.#count();
    return true;
  }

  /** Marks an artifact as loaded. */
  finish(artifactId: string): void {
    const held = this.held.get(artifactId);
    if (held) held.ready = true;
  }

  /** Gives an artifact's bytes back. */
  give(artifactId: string): void {
    this.held.delete(artifactId);
  }

  /** Whether requests for the artifact can run. */
  isReady(artifactId: string): boolean {
    return this.held.get(artifactId)?.ready ?? false;
  }

  #count(): void {
    this.peakBytes = Math.max(this.peakBytes, this.usedBytes);
    if (this.usedBytes > this.sizes.capacityBytes) this.overcommits++;
  }
}
