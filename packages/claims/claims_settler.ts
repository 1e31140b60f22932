/** Writes the final states of claims, with retries until they are stored. */
import * as core from "../core/mod.ts";
import type { ClaimEntry, ClaimRegistry } from "./claims_registry.ts";
import type { ClaimStore } from "./claims_store.ts";
import type { ClaimRow } from "./claims_types.ts";

const RETRY_MIN_MS = 50;
const RETRY_MAX_MS = 2_000;

/** The final state of a claim, to be stored. */
export interface ClaimSettlement {
  readonly entry: ClaimEntry;
  /** Version at which the claim was committed; 0 if that is unknown. */
  readonly version: number;
  readonly row: ClaimRow;
}

/** Stores final states in the background; callers wait for a bounded time. */
export class ClaimSettler {
  readonly #store: ClaimStore;
  readonly #registry: ClaimRegistry;
  readonly #abortController = new AbortController();
  readonly #pendingWrites = new Set<Promise<void>>();

  readonly #waitMs: number;

  constructor(store: ClaimStore, registry: ClaimRegistry, waitMs: number) {
    this.#store = store;
    this.#registry = registry;
    this.#waitMs = waitMs;
  }

  /** Number of final states that are not stored yet. */
  get pending(): number {
    return this.#pendingWrites.size;
  }

  /** Stores a final state; returns when it is stored or the wait is over. */
  async settle(settlement: ClaimSettlement): Promise<void> {
    const pendingWrite = this.#writeUntilStored(settlement);
    this.#pendingWrites.add(pendingWrite);
    pendingWrite.finally(() => this.#pendingWrites.delete(pendingWrite));
    await Promise.race([pendingWrite, core.sleep(this.#waitMs)]);
  }

  /** Waits up to `waitMs` for all final states to be stored, then gives up. */
  async drain(waitMs: number): Promise<void> {
    await Promise.race([Promise.all(this.#pendingWrites), core.sleep(waitMs)]);
    this.#abortController.abort();
  }

  async #writeUntilStored(settlement: ClaimSettlement): Promise<void> {
    const { signal } = this.#abortController;
    let { version } = settlement;
    let delayMs = RETRY_MIN_MS;
    while (!signal.aborted) {
      const written = await this.#store.write(
        settlement.entry.storeKey,
        version,
        settlement.row,
      );
      if (written.kind === "committed") break;
      if (written.kind === "held") {
        const next = nextVersion(
          settlement,
          written.held?.version ?? 0,
          written.held?.claim,
        );
        if (next === undefined) break;
        version = next;
        continue;
      }
      await core.sleep(core.jitterMs(delayMs), signal);
      delayMs = Math.min(delayMs * 2, RETRY_MAX_MS);
    }
    if (!signal.aborted) this.#registry.remove(settlement.entry);
  }
}

/**
 * Returns the version to write over, or undefined if the final state is stored
 * already or no longer applies to the stored claim.
 */
function nextVersion(
  final: ClaimSettlement,
  version: number,
  held: ClaimRow | undefined,
): number | undefined {
  if (held === undefined) return final.row.state === "released" ? undefined : 0;
  if (held.nonce !== final.row.nonce) return undefined;
  return held.state === final.row.state ? undefined : version;
}
