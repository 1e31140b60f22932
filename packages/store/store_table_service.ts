/** Client of the platform's transactional table service. */
import { err, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import * as core from "../core/mod.ts";
import * as transport from "../transport/mod.ts";
import { ReadResponseCodec, TransactResponseCodec } from "./store_codecs.ts";
import type {
  ReadRequest,
  StoredRow,
  StoreFailure,
  Transaction,
  TransactOutcome,
} from "./store_types.ts";

/** Transactional rows; the only point of consensus between instances. */
export abstract class TableService {
  /**
   * Generation to which versions belong: grows when the service is restored
   * from an older copy. Services that are never restored stay at 0.
   */
  get generation(): number {
    return 0;
  }

  /** Reads rows from one consistent snapshot, which may be stale. */
  abstract read(
    request: ReadRequest,
  ): Promise<Result<readonly StoredRow[], StoreFailure>>;

  /** Commits a transaction at most once. */
  abstract transact(
    transaction: Transaction,
  ): Promise<Result<TransactOutcome, StoreFailure>>;
}

/** Counters of one client of the table service. */
export interface TableServiceCounters {
  reads: number;
  writes: number;
  failures: number;
  /** Monotonic time of the last response of any status, in milliseconds. */
  lastReachedAtMs: number;
}

/** Statuses by which the service reports that a request had no effect. */
const NO_EFFECT_STATUSES = new Set([400, 404, 413, 429, 503]);

function toStoreFailure(failure: transport.TransportFailure): StoreFailure {
  return {
    effect: failure.sent === "no" ? "none" : "unknown",
    reached: false,
    detail: failure.detail,
  };
}

/** HTTP client of the table service's JSON protocol. */
export class HttpTableService extends TableService {
  readonly counters: TableServiceCounters = {
    reads: 0,
    writes: 0,
    failures: 0,
    lastReachedAtMs: -Infinity,
  };
  readonly #dispatcher: Dispatcher;
  readonly #origin: string;
  readonly #timeoutMs: number;

  constructor(dispatcher: Dispatcher, origin: string, timeoutMs: number) {
    super();
    this.#dispatcher = dispatcher;
    this.#origin = origin;
    this.#timeoutMs = timeoutMs;
  }

  override async read(
    request: ReadRequest,
  ): Promise<Result<readonly StoredRow[], StoreFailure>> {
    this.counters.reads++;
    const response = await this.#post("/v1/read", request);
    return response.andThen((text) =>
      core.decodeJson(text, ReadResponseCodec)
        .map((body) => body.rows as StoredRow[])
        .mapErr(invalidResponse)
    );
  }

  override async transact(
    transaction: Transaction,
  ): Promise<Result<TransactOutcome, StoreFailure>> {
    this.counters.writes++;
    const response = await this.#post("/v1/transact", transaction);
    return response.andThen((text) =>
      core.decodeJson(text, TransactResponseCodec)
        .map((body) => body as TransactOutcome)
        .mapErr(invalidResponse)
    );
  }

  async #post(
    path: string,
    body: unknown,
  ): Promise<Result<string, StoreFailure>> {
    const response = await transport.send(this.#dispatcher, {
      origin: this.#origin,
      path,
      method: "POST",
      headers: { "content-type": "application/json" },
      bodyText: JSON.stringify(body),
      timeoutMs: this.#timeoutMs,
    });
    if (response.isErr()) {
      this.counters.failures++;
      return err(toStoreFailure(response.error));
    }
    this.counters.lastReachedAtMs = core.monotonicMs();
    if (response.value.status === 200) return ok(response.value.bodyText);
    this.counters.failures++;
    return err({
      effect: NO_EFFECT_STATUSES.has(response.value.status)
        ? "none"
        : "unknown",
      reached: true,
      detail: `status ${response.value.status}`,
    });
  }
}

function invalidResponse(detail: string): StoreFailure {
  return { effect: "unknown", reached: true, detail };
}
