/** One fake engine with a store, for tests of the ledger. */
import { err, ok, type Result } from "neverthrow";
import * as core from "../../core/mod.ts";
import * as fakes from "../../fakes/mod.ts";
import * as store from "../../store/mod.ts";
import * as upstream from "../../upstream/mod.ts";
import { Agent } from "undici";
import * as ledger from "../mod.ts";

/** Generous for a busy machine: no test here expects a call to time out. */
const CONTROL_TIMEOUT_MS = 10_000;
export const ORDER_DELAY_MAX_MS = 60;
export const UPSTREAM_ID = core.brandId<core.UpstreamId>("engine-1");
const logger = new core.Logger({}, () => {}, -999);

/** Table service that calls the fake in process, without a network. */
export class LocalTableService extends store.TableService {
  readonly fake = new fakes.FakeTableService();
  /** Faults of the next writes; `lostAfter` drops the reply after the write. */
  faults: ("none" | "refused" | "lostAfter")[] = [];

  override read(
    request: store.ReadRequest,
  ): Promise<Result<readonly store.StoredRow[], store.StoreFailure>> {
    const rows = this.fake.read({
      keys: [...request.keys ?? []],
      prefixes: [...request.prefixes ?? []],
    });
    return Promise.resolve(ok(structuredClone(rows) as store.StoredRow[]));
  }

  override transact(
    transaction: store.Transaction,
  ): Promise<Result<store.TransactOutcome, store.StoreFailure>> {
    const fault = this.faults.shift() ?? "none";
    const lost = { effect: "unknown", reached: false, detail: "lost" } as const;
    const none = { effect: "none", reached: true, detail: "outage" } as const;
    if (fault === "refused") return Promise.resolve(err(none));
    const outcome = this.fake.transact(
      structuredClone(transaction) as Parameters<
        fakes.FakeTableService["transact"]
      >[0],
    ) as store.TransactOutcome;
    if (fault === "lostAfter") return Promise.resolve(err(lost));
    return Promise.resolve(ok(outcome));
  }
}

/** One fake engine and one store for any number of controllers. */
export class Harness {
  readonly service = new LocalTableService();
  readonly store = new ledger.LedgerStore(this.service, {
    slotsMax: 3,
    slotExpiryMs: 60_000,
  }, logger);
  readonly fake: fakes.FakeEngine;
  readonly #honoursFencing: boolean;
  readonly #orderDelayMaxMs: number;
  readonly #agent = new Agent();

  constructor(honoursFencing: boolean, orderDelayMaxMs = ORDER_DELAY_MAX_MS) {
    this.#honoursFencing = honoursFencing;
    this.#orderDelayMaxMs = orderDelayMaxMs;
    this.fake = new fakes.FakeEngine({
      upstreamId: UPSTREAM_ID,
      slots: 4,
      waitingMax: 4,
      firstTokenMs: 1,
      tokenMs: 0,
      honoursFencing,
      loadMs: 5,
      reportLagMs: 0,
      capacityBytes: 50,
      kvReserveBytes: 5,
      roleOverheadBytes: 5,
    });
  }

  get engine(): upstream.Engine {
    return new upstream.HttpEngine({
      dispatcher: this.#agent,
      controlDispatcher: this.#agent,
      origin: this.fake.origin,
      controlTimeoutMs: CONTROL_TIMEOUT_MS,
      dropped: { foreign: 0, duplicate: 0 },
    });
  }

  controller(name = "in-1"): ledger.LedgerController {
    return new ledger.LedgerController({
      incarnation: core.brandId(name),
      store: this.store,
      honoursFencing: this.#honoursFencing,
      orderDelayMaxMs: this.#orderDelayMaxMs,
      logger,
    });
  }

  load(
    controller: ledger.LedgerController,
    name: string,
    weightBytes = 20,
  ): Promise<Result<core.TransmissionId, ledger.OrderError>> {
    const artifact = { artifactId: artifactId(name), weightBytes };
    return controller.load(UPSTREAM_ID, this.engine, artifact, true);
  }

  retryLoad(
    controller: ledger.LedgerController,
    name: string,
  ): Promise<Result<core.TransmissionId, ledger.OrderError>> {
    const artifact = { artifactId: artifactId(name), weightBytes: 20 };
    return controller.retryLoad(UPSTREAM_ID, this.engine, artifact, true);
  }

  unload(
    controller: ledger.LedgerController,
    name: string,
  ): Promise<Result<core.TransmissionId, ledger.OrderError>> {
    return controller.unload(UPSTREAM_ID, this.engine, artifactId(name));
  }

  /** Reconciles until a condition on the row holds. */
  async reconcileUntil(
    controller: ledger.LedgerController,
    condition: (row: ledger.LedgerRow) => boolean,
  ): Promise<void> {
    const deadline = new core.Deadline(3_000);
    while (!deadline.isOver()) {
      const row = await controller.reconcile(UPSTREAM_ID, this.engine);
      if (row.isOk() && condition(row.value)) return;
      await core.sleep(5);
    }
    throw new Error("ledger row did not reach the expected state within 3 s");
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
    await this.fake.stop();
  }
}

export function artifactId(name: string): core.ArtifactId {
  return core.brandId(`${name}@1`);
}

export function stateOf(
  row: ledger.LedgerRow,
  name: string,
): string | undefined {
  return ledger.findEntry(row, artifactId(name))?.state;
}

export async function withHarness(
  honoursFencing: boolean,
  body: (harness: Harness) => Promise<void>,
  orderDelayMaxMs?: number,
): Promise<void> {
  const harness = new Harness(honoursFencing, orderDelayMaxMs);
  await harness.fake.start();
  try {
    await body(harness);
  } finally {
    await harness.close();
  }
}
