/** Shapes of the accelerator memory ledger. */
import type * as core from "../core/mod.ts";
import type * as upstream from "../upstream/mod.ts";

/** One order that was or may have been sent, and is not resolved. */
export interface LedgerTransmission {
  readonly transmissionId: core.TransmissionId;
  readonly kind: "load" | "unload";
  readonly sender: core.Incarnation;
}

/** One artifact's bytes on one engine. */
export interface LedgerEntry {
  readonly artifactId: core.ArtifactId;
  readonly weightBytes: number;
  /** `cooling`: unloaded, but a duplicate of the load may still arrive. */
  readonly state: "loading" | "resident" | "unloading" | "cooling";
  readonly transmissions: readonly LedgerTransmission[];
}

/** A role change on its way. */
export interface LedgerRoleChange {
  readonly role: upstream.EngineRole;
  readonly roleOverheadBytes: number;
  readonly transmissionId: core.TransmissionId;
}

/** Everything that takes memory on one engine. */
export interface LedgerRow {
  readonly incarnation: core.Incarnation;
  readonly capacityBytes: number;
  readonly kvReserveBytes: number;
  readonly roleOverheadBytes: number;
  readonly roleChange?: LedgerRoleChange;
  readonly entries: readonly LedgerEntry[];
}

/** A ledger row with the version to compare and set by. */
export interface VersionedLedgerRow {
  readonly version: number;
  readonly row: LedgerRow;
}

/** An artifact to load and its size. */
export interface LedgerArtifact {
  readonly artifactId: core.ArtifactId;
  readonly weightBytes: number;
}
