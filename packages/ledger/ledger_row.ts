/** The arithmetic of one ledger row; nothing here does input or output. */
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

/** Why a row cannot take a change. */
export type LedgerRowError = "no-room" | "busy" | "absent" | "present";

/**
 * The bytes that a row holds, with every change on its way counted.
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
 * The row of an engine whose report is all that is known.
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
 * Adds a load that is about to be sent.
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
  const present = findEntry(row, artifact.artifactId);
  if (present?.state === "resident") return err("present");
  if (present && present.state !== "cooling") return err("busy");
  const others = row.entries.filter((entry) => entry !== present);
  const entry: LedgerEntry = {
    ...artifact,
    state: "loading",
    transmissions: [...(present?.transmissions ?? []), transmission],
  };
  const next = { ...row, entries: [...others, entry] };
  return reservedBytes(next) > row.capacityBytes ? err("no-room") : ok(next);
}

/**
 * Adds a further transmission of a load that may be lost. The bytes are held
 * already, and an engine carries out a load that it has carried out only once.
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
 * Marks an artifact as being unloaded; its bytes stay held.
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
  const resendable = entry.state === "unloading";
  if (entry.state !== "resident" && !resendable) return err("busy");
  return ok(replaceEntry(row, {
    ...entry,
    state: "unloading",
    transmissions: [...entry.transmissions, transmission],
  }));
}

/**
 * Adds a role change; the larger of both overheads is held.
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
 * Takes back a transmission that is known never to have been sent.
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
    const found = entry.transmissions
      .find((sent) => sent.transmissionId === transmissionId);
    if (!found) return [entry];
    if (found.kind === "load") return [];
    const transmissions = entry.transmissions.filter((sent) => sent !== found);
    const state = transmissions.length > 0 ? entry.state : "resident";
    return [{ ...entry, state, transmissions } as LedgerEntry];
  });
  const { roleChange, ...rest } = row;
  const keepsRole = roleChange && roleChange.transmissionId !== transmissionId;
  return keepsRole ? { ...rest, roleChange, entries } : { ...rest, entries };
}

/** How to judge what an engine reports. */
export interface ReconcileOptions {
  /** Whether the engine refuses orders with an old fencing number. */
  readonly honoursFencing: boolean;
  /** Whether a cooling artifact has cooled for long enough. */
  readonly isCooldownOver: (entry: LedgerEntry) => boolean;
}

/**
 * Brings a row up to a report that was read after the row was.
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
  const strays = rowFromReport(report).entries
    .filter(({ artifactId }) => !known.has(artifactId));
  return reconcileRole(
    { ...row, entries: [...entries, ...strays] },
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
  const open = entry.transmissions
    .filter(({ transmissionId }) => !resolved.has(transmissionId));
  const isResident = residents.has(entry.artifactId);
  const left = { ...entry, transmissions: open };
  switch (entry.state) {
    case "loading":
      return reconcileLoad(entry, left, isResident, options);
    case "resident":
      return isResident ? [left] : release(left, options);
    case "unloading":
      return reconcileUnload(entry, left, isResident, options);
    case "cooling":
      if (isResident) return [{ ...left, state: "resident" }];
      return options.isCooldownOver(entry) ? [] : [left];
  }
}

/** One transmission that was carried out settles the others of the load. */
function reconcileLoad(
  entry: LedgerEntry,
  left: LedgerEntry,
  isResident: boolean,
  options: ReconcileOptions,
): LedgerEntry[] {
  const anyResolved = left.transmissions.length < entry.transmissions.length;
  if (anyResolved && isResident) {
    return [{ ...entry, state: "resident", transmissions: [] }];
  }
  if (left.transmissions.length > 0) return [left];
  return isResident ? [{ ...left, state: "resident" }] : release(left, options);
}

function reconcileUnload(
  entry: LedgerEntry,
  left: LedgerEntry,
  isResident: boolean,
  options: ReconcileOptions,
): LedgerEntry[] {
  const anyResolved = left.transmissions.length < entry.transmissions.length;
  if (left.transmissions.length > 0 && !anyResolved) return [left];
  if (isResident) {
    return [
      left.transmissions.length > 0 ? left : { ...left, state: "resident" },
    ];
  }
  return release(left, options);
}

/** Gives bytes back, at once only where a late duplicate is refused. */
function release(
  entry: LedgerEntry,
  options: ReconcileOptions,
): LedgerEntry[] {
  return options.honoursFencing ? [] : [{ ...entry, state: "cooling" }];
}

function reconcileRole(
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
 * The entry of an artifact, if the row has one.
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
