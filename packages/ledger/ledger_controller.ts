/** Records each order in the ledger and then sends it to the engine. */
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
  LedgerRow,
  LedgerTransmission,
  VersionedLedgerRow,
} from "./ledger_types.ts";

/** Reason why an order was not sent. */
export type OrderError =
  | LedgerRowError
  | "conflict"
  | "slots-taken"
  | "store-down"
  | "engine-unreachable"
  | "engine-leaving"
  | "not-sent";

/** Options of a `LedgerController`. */
export interface LedgerControllerOptions {
  readonly incarnation: core.Incarnation;
  readonly store: LedgerStore;
  /** Whether engines reject orders with a stale fencing token. */
  readonly honoursFencing: boolean;
  /** The longest time that an order may be in flight, in milliseconds. */
  readonly orderDelayMaxMs: number;
  readonly logger: core.Logger;
}

type RowChange = (
  row: LedgerRow,
  transmission: core.TransmissionId,
) => Result<LedgerRow, LedgerRowError>;

interface UnsentTransmission {
  readonly upstreamId: core.UpstreamId;
  /** Version of the row that its write replaces. */
  readonly version: number;
}

interface LedgerSession {
  readonly stored: VersionedLedgerRow;
  readonly reconciled: LedgerRow;
  readonly session: upstream.OrderSession;
}

/**
 * Sends orders and reconciles ledger rows with engine reports. Any number of
 * controllers may work on the same engine concurrently.
 */
export class LedgerController {
  readonly #options: LedgerControllerOptions;
  /** Transmissions that may be recorded, but are known never to be sent. */
  readonly #unsent = new Map<core.TransmissionId, UnsentTransmission>();
  /**
   * Monotonic time at which this instance first saw an entry as `cooling`, by
   * engine and then by incarnation and artifact.
   */
  readonly #coolingSinceMs = new Map<core.UpstreamId, Map<string, number>>();

  constructor(options: LedgerControllerOptions) {
    this.#options = options;
  }

  /** Number of transmissions that are remembered as never sent. */
  get unsentCount(): number {
    return this.#unsent.size;
  }

  /**
   * Records and sends a load.
   *
   * @returns the transmission id, also if the engine did not acknowledge the
   * order.
   *
   * @example
   * ```ts
   * const sent = await controller.load(upstreamId, engine, artifact, true);
   * ```
   */
  load(
    upstreamId: core.UpstreamId,
    engine: upstream.Engine,
    artifact: LedgerArtifact,
    acquiresSlot: boolean,
  ): Promise<Result<core.TransmissionId, OrderError>> {
    return this.#sendOrder(upstreamId, engine, {
      order: { kind: "load", ...artifact },
      acquiresSlot,
      change: (row, transmissionId) =>
        addLoad(row, artifact, this.#transmission(transmissionId, "load")),
    });
  }

  /** Records and sends another transmission of a load that may be lost. */
  retryLoad(
    upstreamId: core.UpstreamId,
    engine: upstream.Engine,
    artifact: LedgerArtifact,
    acquiresSlot: boolean,
  ): Promise<Result<core.TransmissionId, OrderError>> {
    return this.#sendOrder(upstreamId, engine, {
      order: { kind: "load", ...artifact },
      acquiresSlot,
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
    return this.#sendOrder(upstreamId, engine, {
      order: { kind: "unload", artifactId },
      acquiresSlot: false,
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
    return this.#sendOrder(upstreamId, engine, {
      order: { kind: "role", role: change.role },
      acquiresSlot: false,
      change: (row, transmissionId) =>
        addRoleChange(row, { ...change, transmissionId }),
    });
  }

  /**
   * Updates the ledger row from the engine's current report.
   *
   * @returns the updated row; `conflict` if another instance has changed it
   * meanwhile, and `store-down` if its write is not confirmed.
   */
  async reconcile(
    upstreamId: core.UpstreamId,
    engine: upstream.Engine,
  ): Promise<Result<LedgerRow, OrderError>> {
    const opened = await this.#openSession(upstreamId, engine);
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
      releaseSlots: resolvedLoadIds(stored.row, reconciled),
    });
    if (written.kind === "committed") return ok(reconciled);
    return err(written.kind === "conflict" ? "conflict" : "store-down");
  }

  async #sendOrder(
    upstreamId: core.UpstreamId,
    engine: upstream.Engine,
    plan: {
      order: Omit<upstream.EngineOrder, "transmissionId" | "fencing">;
      acquiresSlot: boolean;
      change: RowChange;
    },
  ): Promise<Result<core.TransmissionId, OrderError>> {
    const opened = await this.#openSession(upstreamId, engine);
    if (opened.isErr()) return err(opened.error);
    const { stored, reconciled, session } = opened.value;
    try {
      if (session.report.leaving) return err("engine-leaving");
      const transmissionId = core.randomId<core.TransmissionId>("tx");
      const next = plan.change(reconciled, transmissionId);
      if (next.isErr()) return err(next.error);
      const fencingToken = await this.#recordOrder({
        upstreamId,
        version: stored.version,
        row: next.value,
        releaseSlots: resolvedLoadIds(stored.row, reconciled),
        ...(plan.acquiresSlot ? { acquireSlot: transmissionId } : {}),
      }, transmissionId);
      if (fencingToken.isErr()) return err(fencingToken.error);
      const sent = await session.send({
        ...plan.order,
        transmissionId,
        fencing: fencingToken.value,
      });
      if (sent.isErr() && sent.error.sent === "no") {
        const { version } = stored;
        this.#unsent.set(transmissionId, { upstreamId, version });
        return err("not-sent");
      }
      this.#options.logger.info("order_sent", {
        upstreamId,
        kind: plan.order.kind,
        artifactId: plan.order.artifactId,
        transmissionId,
        fencing: fencingToken.value,
        acknowledged: sent.isOk(),
      });
      return ok(transmissionId);
    } finally {
      await session.close();
    }
  }

  async #recordOrder(
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
        // The write may still have taken effect, but its order is never sent:
        // a later reconciliation removes the transmission from the row.
        this.#unsent.set(transmissionId, {
          upstreamId: write.upstreamId,
          version: write.version,
        });
        return err(written.kind === "conflict" ? "conflict" : "store-down");
    }
  }

  /** Reads the row before the report, so that the report is the newer one. */
  async #openSession(
    upstreamId: core.UpstreamId,
    engine: upstream.Engine,
  ): Promise<Result<LedgerSession, OrderError>> {
    const stored = await this.#options.store.read(upstreamId);
    if (stored.isErr()) return err("store-down");
    const session = await engine.openOrderSession();
    if (session.isErr()) return err("engine-unreachable");
    const { report } = session.value;
    const current = stored.value ??
      { version: 0, row: rowFromReport(report) };
    this.#forgetUnsent(upstreamId, current);
    return ok({
      stored: current,
      reconciled: this.#reconcileRow(upstreamId, current.row, report),
      session: session.value,
    });
  }

  #reconcileRow(
    upstreamId: core.UpstreamId,
    stored: LedgerRow,
    report: upstream.EngineReport,
  ): LedgerRow {
    const recorded = transmissionIds(stored);
    const row = recorded.filter((id) => this.#unsent.has(id))
      .reduce(removeUnsent, stored);
    const reconciled = reconcile(row, report, {
      honoursFencing: this.#options.honoursFencing,
      isCooldownOver: ({ artifactId }) =>
        this.#isCooldownOver(upstreamId, coolingKey(row, artifactId)),
    });
    this.#forgetCooldowns(upstreamId, reconciled);
    return reconciled;
  }

  /**
   * Forgets unsent transmissions that are not in the row and cannot get into it
   * any more, as their write replaces an older version.
   */
  #forgetUnsent(
    upstreamId: core.UpstreamId,
    { version, row }: VersionedLedgerRow,
  ): void {
    const recorded = new Set(transmissionIds(row));
    for (const [id, unsent] of this.#unsent) {
      if (unsent.upstreamId !== upstreamId || recorded.has(id)) continue;
      if (version > unsent.version) this.#unsent.delete(id);
    }
  }

  #isCooldownOver(upstreamId: core.UpstreamId, key: string): boolean {
    const nowMs = core.monotonicMs();
    const cooldowns = this.#coolingSinceMs.get(upstreamId) ?? new Map();
    this.#coolingSinceMs.set(upstreamId, cooldowns);
    const sinceMs = cooldowns.get(key) ?? nowMs;
    cooldowns.set(key, sinceMs);
    return nowMs - sinceMs >= this.#options.orderDelayMaxMs;
  }

  /** Forgets when entries began to cool that are not cooling any more. */
  #forgetCooldowns(upstreamId: core.UpstreamId, row: LedgerRow): void {
    const cooldowns = this.#coolingSinceMs.get(upstreamId);
    if (!cooldowns) return;
    const cooling = new Set(
      row.entries.filter(({ state }) => state === "cooling")
        .map(({ artifactId }) => coolingKey(row, artifactId)),
    );
    for (const key of cooldowns.keys()) {
      if (!cooling.has(key)) cooldowns.delete(key);
    }
    if (cooldowns.size === 0) this.#coolingSinceMs.delete(upstreamId);
  }

  #transmission(
    transmissionId: core.TransmissionId,
    kind: LedgerTransmission["kind"],
  ): LedgerTransmission {
    return { transmissionId, kind, sender: this.#options.incarnation };
  }
}

function coolingKey(row: LedgerRow, artifactId: core.ArtifactId): string {
  return `${row.incarnation}|${artifactId}`;
}

/** All transmissions that a row waits for. */
function transmissionIds(row: LedgerRow): core.TransmissionId[] {
  const ids = row.entries.flatMap(({ transmissions }) =>
    transmissions.map(({ transmissionId }) => transmissionId)
  );
  return row.roleChange ? [...ids, row.roleChange.transmissionId] : ids;
}

function resolvedLoadIds(
  before: LedgerRow,
  after: LedgerRow,
): core.TransmissionId[] {
  const unresolved = new Set(unresolvedLoadIds(after));
  return unresolvedLoadIds(before).filter((id) => !unresolved.has(id));
}

function unresolvedLoadIds(row: LedgerRow): core.TransmissionId[] {
  return row.entries.flatMap(({ transmissions }) =>
    transmissions
      .filter(({ kind }) => kind === "load")
      .map(({ transmissionId }) => transmissionId)
  );
}
