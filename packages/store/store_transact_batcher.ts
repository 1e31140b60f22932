/** Batches small transactions into fewer writes to the table service. */
import { err, ok, type Result } from "neverthrow";
import * as core from "../core/mod.ts";
import type { TableService } from "./store_table_service.ts";
import type {
  StoreFailure,
  Transaction,
  TransactOutcome,
} from "./store_types.ts";

type Outcome = Result<TransactOutcome, StoreFailure>;

interface QueuedTransaction {
  readonly transaction: Transaction;
  readonly resolve: (outcome: Outcome) => void;
}

/** Limits of batching. */
export interface TransactBatcherOptions {
  /** Maximum number of transactions in one write. */
  readonly batchMax: number;
  /** Maximum number of concurrent writes. */
  readonly writesInFlightMax: number;
}

/**
 * Batches the transactions that were queued while earlier writes were in
 * flight, so a single transaction is sent without delay. Transactions that
 * share a key are never put into the same write. A conflict fails only the
 * transactions it concerns; the others are sent again.
 */
export class TransactBatcher {
  readonly #service: TableService;
  readonly #options: TransactBatcherOptions;
  #queue: QueuedTransaction[] = [];
  #writesInFlight = 0;

  constructor(service: TableService, options: TransactBatcherOptions) {
    this.#service = service;
    this.#options = options;
  }

  /**
   * Commits a transaction, possibly in one write with others.
   *
   * @example
   * ```ts
   * const outcome = await batcher.transact({ checks, writes });
   * ```
   */
  transact(transaction: Transaction): Promise<Outcome> {
    return new Promise((resolve) => {
      this.#queue.push({ transaction, resolve });
      this.#sendBatches();
    });
  }

  #sendBatches(): void {
    while (
      this.#queue.length > 0 &&
      this.#writesInFlight < this.#options.writesInFlightMax
    ) {
      this.#writesInFlight++;
      const batch = this.#takeBatch();
      this.#send(batch)
        .catch((thrown) => failAll(batch, thrown))
        .finally(() => {
          this.#writesInFlight--;
          this.#sendBatches();
        });
    }
  }

  #takeBatch(): QueuedTransaction[] {
    const batch: QueuedTransaction[] = [];
    const remaining: QueuedTransaction[] = [];
    const keys = new Set<string>();
    for (const queued of this.#queue) {
      const ownKeys = keysOf(queued.transaction);
      const fits = batch.length < this.#options.batchMax &&
        !ownKeys.some((key) => keys.has(key));
      if (!fits) {
        remaining.push(queued);
        continue;
      }
      batch.push(queued);
      for (const key of ownKeys) keys.add(key);
    }
    this.#queue = remaining;
    return batch;
  }

  async #send(batch: QueuedTransaction[]): Promise<void> {
    const outcome = await this.#service.transact({
      checks: batch.flatMap(({ transaction }) => transaction.checks),
      writes: batch.flatMap(({ transaction }) => transaction.writes),
    });
    if (outcome.isErr() || outcome.value.outcome === "committed") {
      for (const { resolve } of batch) resolve(outcome);
      return;
    }
    const { rows } = outcome.value;
    const unaffected: QueuedTransaction[] = [];
    for (const queued of batch) {
      const ownKeys = new Set(keysOf(queued.transaction));
      const conflicts = rows.filter(({ key }) => ownKeys.has(key));
      if (conflicts.length === 0) unaffected.push(queued);
      else queued.resolve(ok({ outcome: "conflict", rows: conflicts }));
    }
    this.#queue.unshift(...unaffected);
  }
}

function keysOf(transaction: Transaction): string[] {
  return [
    ...transaction.checks.map(({ key }) => key),
    ...transaction.writes.map(({ key }) => key),
  ];
}

function failAll(batch: readonly QueuedTransaction[], thrown: unknown): void {
  const detail = core.messageOf(thrown);
  for (const { resolve } of batch) {
    resolve(err({ effect: "unknown", reached: false, detail }));
  }
}
