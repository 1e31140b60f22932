/** Writes the ends of claims until the store has them. */
import * as core from "../core/mod.ts";
import type { ClaimEntry, ClaimRegistry } from "./claims_registry.ts";
import type { ClaimStore } from "./claims_store.ts";
import type { ClaimRow } from "./claims_types.ts";

const RETRY_MIN_MS = 50;
const RETRY_MAX_MS = 2_000;

/** An end to be stored. */
export interface ClaimEnd {
  readonly entry: ClaimEntry;
  /** Version of the claim as committed; 0 when that is not known. */
  readonly version: number;
  readonly row: ClaimRow;
}

/** Stores ends in the background and lets callers wait a little. */
export class ClaimSettler {
  readonly #store: ClaimStore;
  readonly #book: ClaimRegistry;
  readonly #controller = new AbortController();
  readonly #running = new Set<Promise<void>>();

  readonly #waitMs: number;

  constructor(store: ClaimStore, book: ClaimRegistry, waitMs: number) {
    this.#store = store;
    this.#book = book;
    this.#waitMs = waitMs;
  }

  /** Ends not stored yet. */
  get pending(): number {
    return this.#running.size;
  }

  /** Stores an end; returns when it is stored or the wait is over. */
  async settle(end: ClaimEnd): Promise<void> {
    const running = this.#keepWriting(end);
    this.#running.add(running);
    running.finally(() => this.#running.delete(running));
    await Promise.race([running, core.sleep(this.#waitMs)]);
  }

  /** Waits for every end to be stored, for a bounded time, then gives up. */
  async drain(waitMs: number): Promise<void> {
    await Promise.race([Promise.all(this.#running), core.sleep(waitMs)]);
    this.#controller.abort();
  }

  async #keepWriting(end: ClaimEnd): Promise<void> {
    const { signal } = this.#controller;
    let { version } = end;
    let delayMs = RETRY_MIN_MS;
    while (!signal.aborted) {
      const written = await this.#store.write(
        end.entry.storeKey,
        version,
        end.row,
      );
      if (written.kind === "committed") break;
      if (written.kind === "held") {
        const next = nextVersion(
          end,
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
    if (!signal.aborted) this.#book.remove(end.entry);
  }
}

/** The version to write over, or undefined when the end is moot or stored. */
function nextVersion(
  end: ClaimEnd,
  version: number,
  held: ClaimRow | undefined,
): number | undefined {
  if (held === undefined) return end.row.state === "released" ? undefined : 0;
  if (held.nonce !== end.row.nonce) return undefined;
  return held.state === end.row.state ? undefined : version;
}
