/** Types of the accelerator memory ledger. */
import type * as core from "../core/mod.ts";
import type * as upstream from "../upstream/mod.ts";

/** An order that may have been sent and is not yet resolved. */
export interface LedgerTransmission {
  readonly transmissionId: core.TransmissionId;
  readonly kind: "load" | "unload";
  readonly sender: core.Incarnation;
}

/** Memory reserved for one artifact on one engine. */
export interface LedgerEntry {
  readonly artifactId: core.ArtifactId;
  readonly weightBytes: number;
  /**
   * `cooling`: no longer on the engine, but its bytes stay reserved because a
   * late duplicate of the load order may still arrive.
   */
  readonly state: "loading" | "resident" | "unloading" | "cooling";
  readonly transmissions: readonly LedgerTransmission[];
}

/** A role change that the engine has not yet confirmed. */
export interface LedgerRoleChange {
  readonly role: upstream.EngineRole;
  readonly roleOverheadBytes: number;
  readonly transmissionId: core.TransmissionId;
}

/** Everything that takes up memory on one engine. */
export interface LedgerRow {
  readonly incarnation: core.Incarnation;
  readonly capacityBytes: number;
  readonly kvReserveBytes: number;
  readonly roleOverheadBytes: number;
  readonly roleChange?: LedgerRoleChange;
  readonly entries: readonly LedgerEntry[];
}

/** A ledger row with its store version, for compare-and-set. */
export interface VersionedLedgerRow {
  readonly version: number;
  readonly row: LedgerRow;
}

/** An artifact to load and its size. */
export interface LedgerArtifact {
  readonly artifactId: core.ArtifactId;
  readonly weightBytes: number;
}
