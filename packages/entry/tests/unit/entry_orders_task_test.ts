import { create } from "@bufbuild/protobuf";
import test from "ava";
import { ok } from "neverthrow";
import * as core from "../../../core/mod.ts";
import * as fleet from "../../../fleet/mod.ts";
import * as orders from "../../../orders/mod.ts";
import * as peers from "../../../peers/mod.ts";
import * as store from "../../../store/mod.ts";
import * as testing from "../../../testing/mod.ts";
import type { ExchangeHub } from "../../entry_exchange.ts";
import { OrdersTask } from "../../entry_orders_task.ts";
import { EntryState } from "../../entry_state.ts";
import { makeEntrySettings } from "../entry_settings.ts";

const service = core.brandId<core.ServiceName>("s");
const silentLogger = new core.Logger({}, () => {});
const spec = testing.makeEngineSpec({
  c1: 65_100,
  c2: 65_100,
  c3: 65_100,
  d1: 72_700,
  d2: 72_700,
});

/** A store with the lease row alone. */
class LeaseTable extends store.TableService {
  #version = 0;

  override get generation(): number {
    return 0;
  }

  override read() {
    return Promise.resolve(ok([]));
  }

  override transact() {
    const version = ++this.#version;
    return Promise.resolve(ok({ outcome: "committed" as const, version }));
  }
}

/** Answers no order that is picked, and carries it out when a test says so. */
class LosingControl extends fleet.EngineControl {
  readonly engine = new testing.OrderedEngine(spec, true);
  /** Picks the order that is lost. */
  isLost: (order: fleet.Order) => boolean = () => false;
  late: fleet.Order | undefined;

  override async sendOrder(_: fleet.UpstreamRecord, order: fleet.Order) {
    if (!this.late && this.isLost(order)) {
      this.late = order;
      return "lost" as const;
    }
    const reply = this.engine.accept(order);
    await core.sleep(1);
    this.engine.finishOrder();
    return reply;
  }

  override fetchReport() {
    return Promise.resolve(ok(this.engine.report));
  }
}

async function waitUntil(condition: () => boolean) {
  const endsAtMs = core.monotonicMs() + 8_000;
  while (!condition() && core.monotonicMs() < endsAtMs) await core.sleep(5);
}

// Guards against a late order that an engine accepts after a restart under its
// id, since its order count is the expected one again.
test("a late order to an earlier incarnation does not overfill an engine", async (t) => {
  const control = new LosingControl();
  const { engine } = control;
  const state = new EntryState(makeEntrySettings("n"), silentLogger);
  state.applyConfig({
    version: 1,
    routes: [],
    services: new Map([[service, {
      name: service,
      connectionsMax: 1,
      engine: spec,
    }]]),
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
    bodyBytesMax: 1,
  });
  state.setUpstream(engine.record);
  let wanted = ["c1", "c2", "c3"];
  const hub = {
    digests: () => [create(peers.NodeDigestSchema, {
      demand: wanted.map((model) => ({
        model,
        ratePerS: 1,
        waiting: 1,
        workMsPerS: 100,
      })),
    })],
  } as unknown as ExchangeHub;
  const lease = new orders.OrderLease(new LeaseTable(), {
    key: "orders/holder",
    self: state.settings.nodeName,
    incarnation: "n-1",
    leaseMs: 3_000,
    enginesCheckFences: true,
    isEligible: () => true,
    rank: () => 0,
    followers: () => 0,
  }, silentLogger);
  const task = new OrdersTask(state, hub, lease, control);
  lease.onAcquired = () => task.wakeSignal.wake();
  const stopped = new AbortController();
  const done = [lease.run(stopped.signal), task.run(stopped.signal)];
  t.teardown(async () => {
    stopped.abort();
    await Promise.all(done);
  });

  // The third load gets no reply and is sent again.
  control.isLost = ({ expectedOrderCount }) => expectedOrderCount === 2;
  await waitUntil(() => engine.held.size === 3);
  t.is(engine.held.size, 3);
  wanted = ["d1", "d2"];
  engine.restart();
  state.setUpstream(engine.record);
  await waitUntil(() => engine.held.size === 2);
  t.deepEqual([...engine.held.keys()].sort().join(), "d1,d2");
  t.is(control.late?.expectedOrderCount, engine.orderCount);

  const reply = engine.accept(control.late!);
  t.deepEqual(engine.overfilledBy, []);
  t.is(reply, "fenced");
});
