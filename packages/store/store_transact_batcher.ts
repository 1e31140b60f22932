/** Groups small transactions into few writes to the table service. */
import { err, ok, type Result } from "neverthrow";
import * as core from "../core/mod.ts";
import type { TableService } from "./store_table_service.ts";
import type {
  StoreFailure,
  Transaction,
  TransactOutcome,
} from "./store_types.ts";

type Outcome = Result<TransactOutcome, StoreFailure>;

interface Pending {
  readonly transaction: Transaction;
  readonly resolve: (outcome: Outcome) => void;
}

/** How transactions are grouped. */
export interface TransactBatcherOptions {
  /** Transactions in one write at most. */
  readonly batchMax: number;
  /** Writes on their way at once at most. */
  readonly writesInFlightMax: number;
}

/**
 * Sends what has gathered while earlier writes were on their way, so a lone
 * transaction waits for nothing. Transactions that share a key never share
 * a write; one that conflicts does not fail the others.
 */
export class TransactBatcher {
  readonly #service: TableService;
  readonly #options: TransactBatcherOptions;
  #pending: Pending[] = [];
  #onTheWay = 0;

  constructor(service: TableService, options: TransactBatcherOptions) {
    this.#service = service;
    this.#options = options;
  }

  /**
   * Commits a transaction together with others.
   *
   * @example
   * ```ts
   * const outcome = await batcher.transact({ checks, writes });
   * ```
   */
  transact(transaction: Transaction): Promise<Outcome> {
    return new Promise((resolve) => {
      this.#pending.push({ transaction, resolve });
      this.#pump();
    });
  }

  #pump(): void {
    while (
      this.#pending.length > 0 &&
      this.#onTheWay < this.#options.writesInFlightMax
    ) {
      this.#onTheWay++;
      const batch = this.#takeBatch();
      this.#send(batch)
        .catch((thrown) => failAll(batch, thrown))
        .finally(() => {
          this.#onTheWay--;
          this.#pump();
        });
    }
  }

  #takeBatch(): Pending[] {
    const batch: Pending[] = [];
    const left: Pending[] = [];
    const keys = new Set<string>();
    for (const pending of this.#pending) {
      const own = keysOf(pending.transaction);
      const fits = batch.length < this.#options.batchMax &&
        !own.some((key) => keys.has(key));
      if (!fits) {
        left.push(pending);
        continue;
      }
      batch.push(pending);
      for (const key of own) keys.add(key);
    }
    this.#pending = left;
    return batch;
  }

  async #send(batch: Pending[]): Promise<void> {
    const outcome = await this.#service.transact({
      checks: batch.flatMap(({ transaction }) => transaction.checks),
      writes: batch.flatMap(({ transaction }) => transaction.writes),
    });
    if (outcome.isErr() || outcome.value.outcome === "committed") {
      for (const { resolve } of batch) resolve(outcome);
      return;
    }
    const { rows } = outcome.value;
    const innocent: Pending[] = [];
    for (const pending of batch) {
      const own = new Set(keysOf(pending.transaction));
      const conflicts = rows.filter(({ key }) => own.has(key));
      if (conflicts.length === 0) innocent.push(pending);
      else pending.resolve(ok({ outcome: "conflict", rows: conflicts }));
    }
    this.#pending.unshift(...innocent);
  }
}

function keysOf(transaction: Transaction): string[] {
  return [
    ...transaction.checks.map(({ key }) => key),
    ...transaction.writes.map(({ key }) => key),
  ];
}

function failAll(batch: readonly Pending[], thrown: unknown): void {
  const detail = core.messageOf(thrown);
  for (const { resolve } of batch) {
    resolve(err({ effect: "unknown", reached: false, detail }));
  }
}
