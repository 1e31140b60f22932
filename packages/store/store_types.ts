/** Types of the data that the platform's services store and list. */
import type * as core from "../core/mod.ts";

/** One row of the table service. */
export interface StoredRow {
  readonly key: string;
  /** Commit version, which grows with every commit; 0 means absent. */
  readonly version: number;
  readonly value: core.JsonValue;
}

/** Keys and key prefixes to read from one consistent snapshot. */
export interface ReadRequest {
  readonly keys?: readonly string[];
  readonly prefixes?: readonly string[];
}

/** Requires a row to be at this version; 0 requires it to be absent. */
export interface RowCheck {
  readonly key: string;
  readonly version: number;
}

/** Writes a row; the value null deletes it. */
export interface RowWrite {
  readonly key: string;
  readonly value: core.JsonValue;
}

/** Applies all writes atomically if all checks hold. */
export interface Transaction {
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
}

/** The outcome of a transaction that the service processed. */
export type TransactOutcome =
  | { readonly outcome: "committed"; readonly version: number }
  | {
    readonly outcome: "conflict";
    /** Current state of the checked rows that were at another version. */
    readonly rows: readonly StoredRow[];
  };

/** Failure of a request to a platform service. */
export interface StoreFailure {
  /** Whether the request certainly had no effect, or may have had one. */
  readonly effect: "none" | "unknown";
  /** Whether the service responded, even if it rejected the request. */
  readonly reached: boolean;
  readonly detail: string;
}

/** Kinds of process on the instance list. */
export type ListedKind = "entry" | "engine" | "service";

/** One entry of the instance list. */
export interface ListedInstance {
  readonly id: string;
  readonly kind: ListedKind;
  /** Origin, such as `http://127.0.0.1:9000`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: "live" | "leaving";
  /** Name of the service that a service instance provides. */
  readonly service?: string;
  /** Origin for requests of peers; only on entry instances. */
  readonly peerAddress?: string;
}

/** The weight store's metadata of one artifact. */
export interface ArtifactManifest {
  readonly artifactId: core.ArtifactId;
  readonly weightBytes: number;
}
