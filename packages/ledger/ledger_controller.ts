/** Sends orders to engines, each recorded in the ledger before it leaves. */
import { err, ok, type Result } from "neverthrow";
import * as core from "../core/mod.ts";
import type * as upstream from "../upstream/mod.ts";
import {
  addLoad,
  addLoadRetry,
  addRoleChange,
  addUnload,
  type LedgerRowError,
  reconcile,
  removeUnsent,
  rowFromReport,
} from "./ledger_row.ts";
import type { LedgerStore, LedgerWrite } from "./ledger_store.ts";
import type {
  LedgerArtifact,
  LedgerEntry,
  LedgerRow,
  LedgerTransmission,
  VersionedLedgerRow,
} from "./ledger_types.ts";

/** Why an order was not sent. */
export type OrderError =
  | LedgerRowError
  | "conflict"
  | "slots-taken"
  | "store-down"
  | "engine-unreachable"
  | "engine-leaving"
  | "not-sent";

/** What the controller works with. */
export interface LedgerControllerOptions {
  readonly incarnation: core.Incarnation;
  readonly store: LedgerStore;
  /** Whether engines refuse orders with an old fencing number. */
  readonly honoursFencing: boolean;
  /** The longest that an order may be on its way, in milliseconds. */
  readonly orderDelayMaxMs: number;
  readonly logger: core.Logger;
}

type Change = (
  row: LedgerRow,
  transmission: core.TransmissionId,
) => Result<LedgerRow, LedgerRowError>;

interface OpenedLedger {
  readonly stored: VersionedLedgerRow;
  readonly reconciled: LedgerRow;
  readonly session: upstream.OrderSession;
}

/** Orders and reconciliation; safe with any number of controllers at once. */
export class LedgerController {
  readonly #options: LedgerControllerOptions;
  /** Transmissions that were recorded but are known not to be sent. */
  readonly #unsent = new Set<core.TransmissionId>();
  /** When this instance first saw an entry cooling, on its own clock. */
  readonly #coolingSinceMs = new Map<string, number>();

  constructor(options: LedgerControllerOptions) {
    this.#options = options;
  }

  /**
   * Records and sends a load.
   *
   * @example
   * ```ts
   * const sent = await controller.load(upstreamId, engine, artifact);
   * ```
   */
  load(
    upstreamId: core.UpstreamId,
    engine: upstream.Engine,
    artifact: LedgerArtifact,
    takesSlot: boolean,
  ): Promise<Result<core.TransmissionId, OrderError>> {
    return this.#order(upstreamId, engine, {
      order: { kind: "load", ...artifact },
      takesSlot,
      change: (row, transmissionId) =>
        addLoad(row, artifact, this.#transmission(transmissionId, "load")),
    });
  }

  /** Records and sends a load that may be lost once more. */
  retryLoad(
    upstreamId: core.UpstreamId,
    engine: upstream.Engine,
    artifact: LedgerArtifact,
    takesSlot: boolean,
  ): Promise<Result<core.TransmissionId, OrderError>> {
    return this.#order(upstreamId, engine, {
      order: { kind: "load", ...artifact },
      takesSlot,
      change: (row, transmissionId) =>
        addLoadRetry(row, artifact, this.#transmission(transmissionId, "load")),
    });
  }

  /** Records and sends an unload. */
  unload(
    upstreamId: core.UpstreamId,
    engine: upstream.Engine,
    artifactId: core.ArtifactId,
  ): Promise<Result<core.TransmissionId, OrderError>> {
    return this.#order(upstreamId, engine, {
      order: { kind: "unload", artifactId },
      takesSlot: false,
      change: (row, transmissionId) =>
        addUnload(
          row,
          artifactId,
          this.#transmission(transmissionId, "unload"),
        ),
    });
  }

  /** Records and sends a role change. */
  changeRole(
    upstreamId: core.UpstreamId,
    engine: upstream.Engine,
    change: { role: upstream.EngineRole; roleOverheadBytes: number },
  ): Promise<Result<core.TransmissionId, OrderError>> {
    return this.#order(upstreamId, engine, {
      order: { kind: "role", role: change.role },
      takesSlot: false,
      change: (row, transmissionId) =>
        addRoleChange(row, { ...change, transmissionId }),
    });
  }

  /**
   * Brings the ledger up to what the engine reports now.
   *
   * @returns the row as it now stands.
   */
  async reconcile(
    upstreamId: core.UpstreamId,
    engine: upstream.Engine,
  ): Promise<Result<LedgerRow, OrderError>> {
    const opened = await this.#open(upstreamId, engine);
    if (opened.isErr()) return err(opened.error);
    const { stored, reconciled, session } = opened.value;
    await session.close();
    if (JSON.stringify(stored.row) === JSON.stringify(reconciled)) {
      return ok(reconciled);
    }
    const written = await this.#options.store.write({
      upstreamId,
      version: stored.version,
      row: reconciled,
      releaseSlots: resolvedLoads(stored.row, reconciled),
    });
    return written.kind === "committed" ? ok(reconciled) : err("conflict");
  }

  async #order(
    upstreamId: core.UpstreamId,
    engine: upstream.Engine,
    plan: {
      order: Omit<upstream.EngineOrder, "transmissionId" | "fencing">;
      takesSlot: boolean;
      change: Change;
    },
  ): Promise<Result<core.TransmissionId, OrderError>> {
    const opened = await this.#open(upstreamId, engine);
    if (opened.isErr()) return err(opened.error);
    const { stored, reconciled, session } = opened.value;
    try {
      if (session.report.leaving) return err("engine-leaving");
      const transmissionId = core.randomId<core.TransmissionId>("tx");
      const next = plan.change(reconciled, transmissionId);
      if (next.isErr()) return err(next.error);
      const fencing = await this.#record({
        upstreamId,
        version: stored.version,
        row: next.value,
        releaseSlots: resolvedLoads(stored.row, reconciled),
        ...(plan.takesSlot ? { acquireSlot: transmissionId } : {}),
      }, transmissionId);
      if (fencing.isErr()) return err(fencing.error);
      const sent = await session.send({
        ...plan.order,
        transmissionId,
        fencing: fencing.value,
      });
      if (sent.isErr() && sent.error.sent === "no") {
        this.#unsent.add(transmissionId);
        return err("not-sent");
      }
      this.#options.logger.info("order_sent", {
        upstreamId,
        kind: plan.order.kind,
        artifactId: plan.order.artifactId,
        transmissionId,
        fencing: fencing.value,
        acknowledged: sent.isOk(),
      });
      return ok(transmissionId);
    } finally {
      await session.close();
    }
  }

  async #record(
    write: LedgerWrite,
    transmissionId: core.TransmissionId,
  ): Promise<Result<number, OrderError>> {
    const written = await this.#options.store.write(write);
    switch (written.kind) {
      case "committed":
        return ok(written.version);
      case "slotsTaken":
        return err("slots-taken");
      case "failed":
        return err("store-down");
      case "conflict":
      case "unknown":
        // The write may have taken effect all the same; it is never sent.
        this.#unsent.add(transmissionId);
        return err(written.kind === "conflict" ? "conflict" : "store-down");
    }
  }

  /** Reads the row first and the report after it, so the report is newer. */
  async #open(
    upstreamId: core.UpstreamId,
    engine: upstream.Engine,
  ): Promise<Result<OpenedLedger, OrderError>> {
    const stored = await this.#options.store.read(upstreamId);
    if (stored.isErr()) return err("store-down");
    const session = await engine.openOrderSession();
    if (session.isErr()) return err("engine-unreachable");
    const { report } = session.value;
    const current = stored.value ??
      { version: 0, row: rowFromReport(report) };
    return ok({
      stored: current,
      reconciled: this.#reconciled(upstreamId, current.row, report),
      session: session.value,
    });
  }

  #reconciled(
    upstreamId: core.UpstreamId,
    stored: LedgerRow,
    report: upstream.EngineReport,
  ): LedgerRow {
    let row = stored;
    for (const entry of stored.entries) {
      for (const { transmissionId } of entry.transmissions) {
        if (!this.#unsent.has(transmissionId)) continue;
        row = removeUnsent(row, transmissionId);
      }
    }
    return reconcile(row, report, {
      honoursFencing: this.#options.honoursFencing,
      isCooldownOver: (entry) => this.#hasCooled(upstreamId, row, entry),
    });
  }

  #hasCooled(
    upstreamId: core.UpstreamId,
    row: LedgerRow,
    entry: LedgerEntry,
  ): boolean {
    const nowMs = core.monotonicMs();
    const key = `${upstreamId}|${row.incarnation}|${entry.artifactId}`;
    const sinceMs = this.#coolingSinceMs.get(key);
    if (sinceMs === undefined) {
      this.#coolingSinceMs.set(key, nowMs);
      return false;
    }
    if (nowMs - sinceMs < this.#options.orderDelayMaxMs) return false;
    this.#coolingSinceMs.delete(key);
    return true;
  }

  #transmission(
    transmissionId: core.TransmissionId,
    kind: LedgerTransmission["kind"],
  ): LedgerTransmission {
    return { transmissionId, kind, sender: this.#options.incarnation };
  }
}

function resolvedLoads(
  before: LedgerRow,
  after: LedgerRow,
): core.TransmissionId[] {
  const open = new Set(openTransmissions(after));
  return openTransmissions(before).filter((id) => !open.has(id));
}

function openTransmissions(row: LedgerRow): core.TransmissionId[] {
  return row.entries.flatMap(({ transmissions }) =>
    transmissions
      .filter(({ kind }) => kind === "load")
      .map(({ transmissionId }) => transmissionId)
  );
}
