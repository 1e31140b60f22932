import test from "ava";
import { ok, type Result } from "neverthrow";
import * as core from "../../../core/mod.ts";
import * as fleet from "../../../fleet/mod.ts";
import * as testing from "../../../testing/mod.ts";
import * as orders from "../../mod.ts";

const model = core.brandId<core.ModelName>("m");
const silentLogger = new core.Logger({}, () => {});

/** An engine that checks order counts, with scripted replies. */
class ScriptedControl extends fleet.EngineControl {
  orderCount = 0;
  readonly sent: fleet.Order[] = [];
  /** Overrides of replies; "dropped" means that the order did not arrive. */
  readonly replies: (fleet.OrderReply | "dropped")[] = [];

  override sendOrder(
    _engine: fleet.UpstreamRecord,
    order: fleet.Order,
  ): Promise<fleet.OrderReply> {
    this.sent.push(order);
    const scripted = this.replies.shift();
    if (scripted === "dropped") return Promise.resolve("lost");
    if (order.expectedOrderCount !== this.orderCount) {
      return Promise.resolve("conflict");
    }
    if (scripted !== undefined && scripted !== "lost") {
      return Promise.resolve(scripted);
    }
    this.orderCount++;
    return Promise.resolve(scripted ?? "accepted");
  }

  override fetchReport(): Promise<Result<fleet.EngineReport, string>> {
    return Promise.resolve(ok({
      startedAtMs: 1,
      models: [],
      modelsInMemory: [],
      modelsOnDisk: [],
      loadingAdapters: [],
      isBusy: false,
      orderCount: this.orderCount,
    }));
  }
}

const record = testing.makeUpstreamRecord();

function makeSender(
  control: ScriptedControl,
  previous?: orders.PreviousOrders,
  ordersAllowedFromMs = 0,
) {
  let lost = "";
  const contacts: boolean[] = [];
  let raisedAbove = 0;
  let isLeaving = false;
  const late = new orders.LateOrders();
  const stub = {
    fencingToken: 7,
    ordersAllowedFromMs,
    lose: (reason: string) => {
      lost = reason;
    },
    raiseTokenAbove: (token: number) => {
      raisedAbove = token;
    },
  };
  const lease = stub as unknown as orders.OrderLease;
  const sender = new orders.OrderSender(
    record,
    new orders.EngineInventory(record),
    {
      control,
      lease,
      self: core.brandId<core.InstanceId>("n"),
      leaseMs: 3_000,
      enginesCheckFences: true,
      late,
      logger: silentLogger,
      isLeaving: () => isLeaving,
      onContact: (isReached) => contacts.push(isReached),
    },
    previous,
  );
  return {
    sender,
    late,
    contacts,
    lossReason: () => lost,
    raisedAbove: () => raisedAbove,
    setLeaving: () => {
      isLeaving = true;
    },
    setToken: (token: number) => {
      stub.fencingToken = token;
    },
  };
}

test("no order is sent before the engine's first report", async (t) => {
  const control = new ScriptedControl();
  const { sender } = makeSender(control);
  t.true(sender.isBlocked(core.monotonicMs()));
  t.false(await sender.send({ kind: "load", model }, 10));
  t.is(control.sent.length, 0);
  await sender.reconcile();
  t.false(sender.isBlocked(core.monotonicMs()));
});

test("an order whose reply is lost is retried with the same order count", async (t) => {
  const control = new ScriptedControl();
  const { sender } = makeSender(control);
  await sender.reconcile();
  control.replies.push("dropped");
  t.true(await sender.send({ kind: "load", model }, 10));
  t.deepEqual(control.sent.map((order) => order.expectedOrderCount), [0, 0]);
  t.is(control.orderCount, 1);
});

test("an order that was carried out but not confirmed is not repeated", async (t) => {
  const control = new ScriptedControl();
  const { sender } = makeSender(control);
  await sender.reconcile();
  control.replies.push("lost");
  t.false(await sender.send({ kind: "load", model }, 10));
  t.is(control.orderCount, 1);
  // The inventory is unconfirmed until the next report.
  t.true(sender.isBlocked(core.monotonicMs()));
  await sender.reconcile();
  t.is(sender.inventory.orderCount, 1);
});

test("the lease is given up when an engine rejects an order as fenced", async (t) => {
  const control = new ScriptedControl();
  const { sender, lossReason } = makeSender(control);
  await sender.reconcile();
  control.replies.push("fenced");
  t.false(await sender.send({ kind: "load", model }, 10));
  t.regex(lossReason(), /higher fencing token/);
});

test("a holder that sent nothing passes on when others last ordered", async (t) => {
  const nowMs = core.monotonicMs();
  const lastOrderAtMs = nowMs - 200;
  const known = makeSender(new ScriptedControl(), {
    orderCount: 0,
    lastOrderAtMs,
  }, nowMs + 2_500);
  await known.sender.reconcile();
  t.is(known.sender.lastOrderAtMs, lastOrderAtMs);

  // For unknown orders, the latest possible time is passed on.
  const unknown = makeSender(new ScriptedControl(), undefined, nowMs + 2_500);
  await unknown.sender.reconcile();
  t.is(unknown.sender.lastOrderAtMs, nowMs + 2_500 - 3_000);

  const first = makeSender(new ScriptedControl());
  await first.sender.reconcile();
  t.is(first.sender.lastOrderAtMs, undefined);
  await first.sender.send({ kind: "load", model }, 10);
  t.true((first.sender.lastOrderAtMs ?? 0) >= nowMs);
});

test("an engine whose orders are all known gets orders without a wait", async (t) => {
  const laterMs = core.monotonicMs() + 60_000;
  const known = makeSender(new ScriptedControl(), {
    orderCount: 0,
    lastOrderAtMs: undefined,
  }, laterMs);
  await known.sender.reconcile();
  t.false(known.sender.isBlocked(core.monotonicMs()));

  const recent = makeSender(new ScriptedControl(), {
    orderCount: 0,
    lastOrderAtMs: core.monotonicMs() - 1_000,
  }, laterMs);
  await recent.sender.reconcile();
  t.true(recent.sender.isBlocked(core.monotonicMs() + 1_500));
  t.false(recent.sender.isBlocked(core.monotonicMs() + 2_100));

  const unknown = makeSender(new ScriptedControl(), {
    orderCount: 4,
    lastOrderAtMs: undefined,
  }, laterMs);
  await unknown.sender.reconcile();
  t.true(unknown.sender.isBlocked(core.monotonicMs()));
});

test("an unreachable engine is reported, and orders to it are paused", async (t) => {
  const control = new ScriptedControl();
  const { sender, contacts } = makeSender(control);
  await sender.reconcile();
  control.replies.push("unreachable");
  t.false(await sender.send({ kind: "unload", model }, 0));
  t.deepEqual(contacts, [true, false]);
  t.true(sender.isBlocked(core.monotonicMs()));
  t.false(sender.isBlocked(core.monotonicMs() + 1_000));
  // No outcome is unknown: the order was never sent.
  t.false(sender.mustReconcile(core.monotonicMs()));
  t.true(sender.mustProbe(core.monotonicMs() + 1_000));
});

test("an order that the engine did not count blocks it only for a while", async (t) => {
  const control = new ScriptedControl();
  const { sender } = makeSender(control);
  await sender.reconcile();
  // A loading adapter cannot be unloaded yet, so the engine counts no order.
  control.replies.push("alreadySo");
  t.true(await sender.send({ kind: "unload", model, adapter: "a" }, 0));
  t.is(sender.inventory.orderCount, 1);
  t.false(await sender.send({ kind: "load", model }, 10));
  t.true(sender.isBlocked(core.monotonicMs()));
  await sender.reconcile();
  t.true(sender.isBlocked(core.monotonicMs()));
  await core.sleep(1_600);
  await sender.reconcile();
  t.is(sender.inventory.orderCount, 0);
  t.true(await sender.send({ kind: "load", model }, 10));
});

test("an engine that has restarted under the same address is not asked again at once", async (t) => {
  const control = new ScriptedControl();
  const { sender } = makeSender(control);
  await sender.reconcile();
  control.replies.push("otherEngine");
  t.false(await sender.send({ kind: "load", model }, 100));
  t.true(sender.isBlocked(core.monotonicMs()));
  t.false(sender.isBlocked(core.monotonicMs() + 1_000));
});

// Guards against a sender that goes on with an order to an engine that has
// started again in the meantime, beside its successor.
test("a retired sender does not send an order again", async (t) => {
  const control = new ScriptedControl();
  const { sender } = makeSender(control);
  await sender.reconcile();
  control.replies.push("dropped");
  const sent = sender.send({ kind: "load", model }, 10);
  sender.retire();
  t.false(await sent);
  t.is(control.sent.length, 1);
});

// Guards against a late order to an earlier incarnation that an engine accepts
// because it knows no higher fencing token.
test("orders wait for a fencing token above those of late ones", async (t) => {
  const control = new ScriptedControl();
  const { sender, late, raisedAbove, setToken } = makeSender(control);
  late.record({
    kind: "load",
    model,
    expectedOrderCount: 2,
    fencingToken: 7,
  }, core.monotonicMs());
  await sender.reconcile();
  t.true(sender.isBlocked(core.monotonicMs()));
  sender.raiseToken(core.monotonicMs());
  t.is(raisedAbove(), 7);
  setToken(8);
  t.false(sender.isBlocked(core.monotonicMs()));
  // Once the engine has counted further, it rejects that order in any case.
  setToken(7);
  control.orderCount = 2;
  await sender.reconcile();
  t.false(sender.isBlocked(core.monotonicMs()));
});

// Guards against calls to an engine that has said that it is leaving.
test("an engine that is leaving gets no order again and no report call", async (t) => {
  const control = new ScriptedControl();
  const { sender, setLeaving } = makeSender(control);
  await sender.reconcile();
  control.replies.push("dropped");
  const sent = sender.send({ kind: "load", model }, 10);
  setLeaving();
  t.false(await sent);
  t.is(control.sent.length, 1);
  const laterMs = core.monotonicMs() + 10_000;
  t.true(sender.isBlocked(laterMs));
  t.false(sender.mustReconcile(laterMs));
  t.false(sender.mustProbe(laterMs));
});
