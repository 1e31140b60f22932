/** Keeps back requests whose prompt would end the engine that they are sent to. */
import { err } from "neverthrow";
import * as core from "../core/mod.ts";
import type { SelectionResult } from "./entry_engine_queue.ts";
import type { EntryState } from "./entry_state.ts";

/**
 * Age of the last exchange from which this node, which may be new or was held
 * up, waits for the next one before it sends prompts with shared parts.
 */
const EXCHANGE_STALE_MS = 1_000;
/** Longest wait for that exchange. */
const EXCHANGE_WAIT_MS = 400;
const EXCHANGE_POLL_MS = 10;
/** Retry-After of a request with a quarantined prompt part. */
const QUARANTINE_RETRY_AFTER_MS = 60_000;

/** Decides by the quarantined parts that this node and the others know. */
export class PromptGate {
  readonly #state: EntryState;

  constructor(state: EntryState) {
    this.#state = state;
  }

  /** Rejects a prompt with a quarantined part; undefined if it may be sent. */
  reject(parts: readonly core.PromptPartKey[]): SelectionResult | undefined {
    const part = this.#state.quarantine.find(parts, core.monotonicMs());
    if (part === undefined) return undefined;
    return err({
      reason: `prompt part ${part} is quarantined`,
      retryAfterMs: QUARANTINE_RETRY_AFTER_MS,
    });
  }

  /** Whether this node knows what the others hold back. */
  isExchangeFresh(): boolean {
    const ageMs = core.monotonicMs() - this.#state.exchangedAtMs;
    return ageMs < EXCHANGE_STALE_MS;
  }

  /** Waits for an exchange with other nodes if the last one is too old. */
  async awaitExchange(signal: AbortSignal): Promise<void> {
    const untilMs = core.monotonicMs() + EXCHANGE_WAIT_MS;
    for (;;) {
      const isOver = core.monotonicMs() >= untilMs || signal.aborted;
      if (isOver || this.isExchangeFresh()) return;
      await core.sleep(EXCHANGE_POLL_MS, signal);
    }
  }
}
