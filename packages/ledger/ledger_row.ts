/** Memory accounting of one ledger row: pure functions without I/O. */
import { err, ok, type Result } from "neverthrow";
import * as core from "../core/mod.ts";
import type * as upstream from "../upstream/mod.ts";
import type {
  LedgerArtifact,
  LedgerEntry,
  LedgerRoleChange,
  LedgerRow,
  LedgerTransmission,
} from "./ledger_types.ts";

/** Reason why a change to a row is rejected. */
export type LedgerRowError = "no-room" | "busy" | "absent" | "present";

/**
 * Returns the bytes that a row reserves, including those of unconfirmed orders.
 *
 * @example
 * ```ts
 * const freeBytes = row.capacityBytes - ledger.reservedBytes(row);
 * ```
 */
export function reservedBytes(row: LedgerRow): number {
  const roleBytes = Math.max(
    row.roleOverheadBytes,
    row.roleChange?.roleOverheadBytes ?? 0,
  );
  const weightBytes = row.entries
    .reduce((sum, entry) => sum + entry.weightBytes, 0);
  return row.kvReserveBytes + roleBytes + weightBytes;
}

/**
 * Builds a row from an engine's report alone, for an engine that has no row yet
 * or that has restarted since its row was written.
 *
 * @example
 * ```ts
 * const row = ledger.rowFromReport(session.report);
 * ```
 */
export function rowFromReport(report: upstream.EngineReport): LedgerRow {
  return {
    incarnation: report.incarnation,
    capacityBytes: report.capacityBytes,
    kvReserveBytes: report.kvReserveBytes,
    roleOverheadBytes: report.roleOverheadBytes,
    entries: report.residents.map((resident) => ({
      artifactId: resident.artifactId,
      weightBytes: resident.weightBytes,
      state: "resident",
      transmissions: [],
    })),
  };
}

/**
 * Reserves memory for a load that is about to be sent.
 *
 * @example
 * ```ts
 * const next = ledger.addLoad(row, artifact, transmission);
 * ```
 */
export function addLoad(
  row: LedgerRow,
  artifact: LedgerArtifact,
  transmission: LedgerTransmission,
): Result<LedgerRow, LedgerRowError> {
  const existing = findEntry(row, artifact.artifactId);
  if (existing?.state === "resident") return err("present");
  if (existing && existing.state !== "cooling") return err("busy");
  const others = row.entries.filter((entry) => entry !== existing);
  const entry: LedgerEntry = {
    ...artifact,
    state: "loading",
    transmissions: [...(existing?.transmissions ?? []), transmission],
  };
  const next = { ...row, entries: [...others, entry] };
  return reservedBytes(next) > row.capacityBytes ? err("no-room") : ok(next);
}

/**
 * Adds another transmission of a load whose order may be lost. Its bytes are
 * already reserved, and an engine that receives several transmissions of a load
 * applies it only once.
 *
 * @example
 * ```ts
 * const next = ledger.addLoadRetry(row, artifact, transmission);
 * ```
 */
export function addLoadRetry(
  row: LedgerRow,
  artifact: LedgerArtifact,
  transmission: LedgerTransmission,
): Result<LedgerRow, LedgerRowError> {
  const entry = findEntry(row, artifact.artifactId);
  if (!entry) return err("absent");
  if (entry.state !== "loading") return err("busy");
  const transmissions = [...entry.transmissions, transmission];
  return ok(replaceEntry(row, { ...entry, transmissions }));
}

/**
 * Marks an artifact as unloading. Its bytes stay reserved until the engine
 * resolves the order.
 *
 * @example
 * ```ts
 * const next = ledger.addUnload(row, artifactId, transmission);
 * ```
 */
export function addUnload(
  row: LedgerRow,
  artifactId: core.ArtifactId,
  transmission: LedgerTransmission,
): Result<LedgerRow, LedgerRowError> {
  const entry = findEntry(row, artifactId);
  if (!entry) return err("absent");
  const isUnloading = entry.state === "unloading";
  if (entry.state !== "resident" && !isUnloading) return err("busy");
  return ok(replaceEntry(row, {
    ...entry,
    state: "unloading",
    transmissions: [...entry.transmissions, transmission],
  }));
}

/**
 * Adds a role change. The larger of the old and the new overhead is reserved
 * until the engine resolves the order.
 *
 * @example
 * ```ts
 * const next = ledger.addRoleChange(row, change);
 * ```
 */
export function addRoleChange(
  row: LedgerRow,
  roleChange: LedgerRoleChange,
): Result<LedgerRow, LedgerRowError> {
  if (row.roleChange) return err("busy");
  const next = { ...row, roleChange };
  if (reservedBytes(next) > row.capacityBytes) return err("no-room");
  return ok(next);
}

/**
 * Removes a transmission that is known never to have been sent. A load without
 * other transmissions loses its entry, and an unload without others makes its
 * entry `resident` again. Other transmissions may still reach the engine, so
 * they keep the entry and its bytes.
 *
 * @example
 * ```ts
 * const next = ledger.removeUnsent(row, transmissionId);
 * ```
 */
export function removeUnsent(
  row: LedgerRow,
  transmissionId: core.TransmissionId,
): LedgerRow {
  const entries = row.entries.flatMap((entry) => {
    const unsent = entry.transmissions
      .find((sent) => sent.transmissionId === transmissionId);
    if (!unsent) return [entry];
    const transmissions = entry.transmissions.filter((sent) => sent !== unsent);
    if (transmissions.length > 0) return [{ ...entry, transmissions }];
    if (unsent.kind === "load") return [];
    return [{ ...entry, state: "resident" as const, transmissions }];
  });
  const { roleChange, ...rest } = row;
  const keepsRoleChange = roleChange &&
    roleChange.transmissionId !== transmissionId;
  return keepsRoleChange
    ? { ...rest, roleChange, entries }
    : { ...rest, entries };
}

/** Options of `reconcile`. */
export interface ReconcileOptions {
  /** Whether the engine rejects orders with a stale fencing token. */
  readonly honoursFencing: boolean;
  /** Whether an entry has been `cooling` for long enough to free its bytes. */
  readonly isCooldownOver: (entry: LedgerEntry) => boolean;
}

/**
 * Updates a row from an engine's report. The report must have been read after
 * the row.
 *
 * @example
 * ```ts
 * const next = ledger.reconcile(stored.row, session.report, options);
 * ```
 */
export function reconcile(
  row: LedgerRow,
  report: upstream.EngineReport,
  options: ReconcileOptions,
): LedgerRow {
  if (row.incarnation !== report.incarnation) return rowFromReport(report);
  const resolved = new Map(
    report.resolved.map(({ transmissionId, state }) => [transmissionId, state]),
  );
  const residents = new Set(
    report.residents.map(({ artifactId }) => artifactId),
  );
  const entries = row.entries.flatMap((entry) =>
    reconcileEntry(entry, resolved, residents, options)
  );
  const known = new Set(entries.map(({ artifactId }) => artifactId));
  const unrecorded = rowFromReport(report).entries
    .filter(({ artifactId }) => !known.has(artifactId));
  return reconcileRoleChange(
    { ...row, entries: [...entries, ...unrecorded] },
    report,
    resolved,
  );
}

type Resolved = ReadonlyMap<
  core.TransmissionId,
  upstream.ResolvedTransmission["state"]
>;

function reconcileEntry(
  entry: LedgerEntry,
  resolved: Resolved,
  residents: ReadonlySet<core.ArtifactId>,
  options: ReconcileOptions,
): LedgerEntry[] {
  const unresolved = entry.transmissions
    .filter(({ transmissionId }) => !resolved.has(transmissionId));
  const isResident = residents.has(entry.artifactId);
  const remaining = { ...entry, transmissions: unresolved };
  switch (entry.state) {
    case "loading":
      return reconcileLoad(entry, remaining, isResident, options);
    case "resident":
      return isResident ? [remaining] : releaseEntry(remaining, options);
    case "unloading":
      return reconcileUnload(entry, remaining, isResident, options);
    case "cooling":
      if (isResident) return [{ ...remaining, state: "resident" }];
      return options.isCooldownOver(entry) ? [] : [remaining];
  }
}

/** One applied transmission of a load also resolves its other transmissions. */
function reconcileLoad(
  entry: LedgerEntry,
  remaining: LedgerEntry,
  isResident: boolean,
  options: ReconcileOptions,
): LedgerEntry[] {
  const anyResolved =
    remaining.transmissions.length < entry.transmissions.length;
  if (anyResolved && isResident) {
    return [{ ...entry, state: "resident", transmissions: [] }];
  }
  if (remaining.transmissions.length > 0) return [remaining];
  return isResident
    ? [{ ...remaining, state: "resident" }]
    : releaseEntry(remaining, options);
}

function reconcileUnload(
  entry: LedgerEntry,
  remaining: LedgerEntry,
  isResident: boolean,
  options: ReconcileOptions,
): LedgerEntry[] {
  const anyResolved =
    remaining.transmissions.length < entry.transmissions.length;
  if (remaining.transmissions.length > 0 && !anyResolved) return [remaining];
  if (isResident) {
    return [
      remaining.transmissions.length > 0
        ? remaining
        : { ...remaining, state: "resident" },
    ];
  }
  return releaseEntry(remaining, options);
}

/**
 * Frees the bytes of an entry. If the engine does not reject stale orders, the
 * entry becomes `cooling` first, because a late duplicate of its load may still
 * be applied.
 */
function releaseEntry(
  entry: LedgerEntry,
  options: ReconcileOptions,
): LedgerEntry[] {
  return options.honoursFencing ? [] : [{ ...entry, state: "cooling" }];
}

function reconcileRoleChange(
  row: LedgerRow,
  report: upstream.EngineReport,
  resolved: Resolved,
): LedgerRow {
  const { roleChange, ...rest } = row;
  if (!roleChange) return row;
  if (!resolved.has(roleChange.transmissionId)) return row;
  return { ...rest, roleOverheadBytes: report.roleOverheadBytes };
}

/**
 * Returns the entry of an artifact, or undefined if the row has none.
 *
 * @example
 * ```ts
 * ledger.findEntry(row, artifactId)?.state; // "resident"
 * ```
 */
export function findEntry(
  row: LedgerRow,
  artifactId: core.ArtifactId,
): LedgerEntry | undefined {
  return row.entries.find((entry) => entry.artifactId === artifactId);
}

function replaceEntry(row: LedgerRow, entry: LedgerEntry): LedgerRow {
  const entries = row.entries.map((old) =>
    old.artifactId === entry.artifactId ? entry : old
  );
  return { ...row, entries };
}
