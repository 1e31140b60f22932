/** Shapes of what the platform stores and lists. */
import type * as core from "../core/mod.ts";

/** One row of the table service. */
export interface StoredRow {
  readonly key: string;
  /** Grows with every commit of the service; 0 means absent. */
  readonly version: number;
  readonly value: core.JsonValue;
}

/** What to read in one consistent snapshot. */
export interface ReadRequest {
  readonly keys?: readonly string[];
  readonly prefixes?: readonly string[];
}

/** A row must be at this version; 0 means that it must be absent. */
export interface RowCheck {
  readonly key: string;
  readonly version: number;
}

/** A row to write; null deletes it. */
export interface RowWrite {
  readonly key: string;
  readonly value: core.JsonValue;
}

/** All checks must hold, then all writes take effect together. */
export interface Transaction {
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
}

/** A transaction's end. */
export type TransactOutcome =
  | { readonly outcome: "committed"; readonly version: number }
  | {
    readonly outcome: "conflict";
    /** The checked rows that were at another version, as they are. */
    readonly rows: readonly StoredRow[];
  };

/** Why the table service gave no outcome. */
export interface StoreFailure {
  /** Whether the transaction may have taken effect. */
  readonly effect: "none" | "unknown";
  /** Whether the service itself answered, if only with a refusal. */
  readonly reached: boolean;
  readonly detail: string;
}

/** Kinds of process on the instance list. */
export type ListedKind = "entry" | "engine" | "service";

/** One line of the instance list. */
export interface ListedInstance {
  readonly id: string;
  readonly kind: ListedKind;
  /** Origin, such as `http://127.0.0.1:9000`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: "live" | "leaving";
  /** Name of the service that a service instance runs. */
  readonly service?: string;
  /** Origin for peers, on entry instances. */
  readonly peerAddress?: string;
}

/** What the weight store knows of one artifact. */
export interface ArtifactManifest {
  readonly artifactId: core.ArtifactId;
  readonly weightBytes: number;
}
