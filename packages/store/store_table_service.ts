/** The platform's transactional table service. */
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

/** Transactional rows; the only place where instances agree on anything. */
export abstract class TableService {
  /** Reads rows in one consistent snapshot, which may lag. */
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
  /** Monotonic time of the last answer of any kind, in milliseconds. */
  lastReachedAtMs: number;
}

/** Statuses with which the service says that it did nothing. */
const REFUSED_STATUSES = new Set([400, 404, 413, 429, 503]);

function unreached(failure: transport.TransportFailure): StoreFailure {
  return {
    effect: failure.sent === "no" ? "none" : "unknown",
    reached: false,
    detail: failure.detail,
  };
}

/** Speaks the table service's JSON over HTTP protocol. */
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
    const answer = await this.#post("/v1/read", request);
    return answer.andThen((text) =>
      core.decodeJson(text, ReadResponseCodec)
        .map((body) => body.rows as StoredRow[])
        .mapErr(invalidAnswer)
    );
  }

  override async transact(
    transaction: Transaction,
  ): Promise<Result<TransactOutcome, StoreFailure>> {
    this.counters.writes++;
    const answer = await this.#post("/v1/transact", transaction);
    return answer.andThen((text) =>
      core.decodeJson(text, TransactResponseCodec)
        .map((body) => body as TransactOutcome)
        .mapErr(invalidAnswer)
    );
  }

  async #post(
    path: string,
    body: unknown,
  ): Promise<Result<string, StoreFailure>> {
    const answer = await transport.send(this.#dispatcher, {
      origin: this.#origin,
      path,
      method: "POST",
      headers: { "content-type": "application/json" },
      bodyText: JSON.stringify(body),
      timeoutMs: this.#timeoutMs,
    });
    if (answer.isErr()) {
      this.counters.failures++;
      return err(unreached(answer.error));
    }
    this.counters.lastReachedAtMs = core.monotonicMs();
    if (answer.value.status === 200) return ok(answer.value.bodyText);
    this.counters.failures++;
    return err({
      effect: REFUSED_STATUSES.has(answer.value.status) ? "none" : "unknown",
      reached: true,
      detail: `status ${answer.value.status}`,
    });
  }
}

function invalidAnswer(detail: string): StoreFailure {
  return { effect: "unknown", reached: true, detail };
}
