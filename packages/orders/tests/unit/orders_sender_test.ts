import test from "ava";
import { ok, type Result } from "neverthrow";
import * as core from "../../../core/mod.ts";
import * as fleet from "../../../fleet/mod.ts";
import * as orders from "../../mod.ts";

const model = core.brandId<core.ModelName>("m");
const quiet = new core.Logger({}, () => {});

/** An engine that accepts orders by their count, with scripted replies. */
class ScriptedControl extends fleet.EngineControl {
  orderCount = 0;
  readonly sent: fleet.Order[] = [];
  /** Replies in place of what happened; "dropped" means nothing happened. */
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

const record: fleet.UpstreamRecord = {
  id: core.brandId<core.UpstreamId>("e"),
  startedAtMs: 1,
  service: core.brandId<core.ServiceName>("s"),
  address: "127.0.0.1:1",
  failureDomain: "z",
  slots: 1,
  isLeaving: false,
  models: [],
  modelsInMemory: [],
  modelsOnDisk: [],
};

function makeSender(
  control: ScriptedControl,
  before?: orders.OrdersBefore,
  ordersFromMs = 0,
) {
  let lost = "";
  const contacts: boolean[] = [];
  const lease = {
    fence: 7,
    ordersFromMs,
    lose: (reason: string) => {
      lost = reason;
    },
  } as unknown as orders.OrderLease;
  const sender = new orders.OrderSender(
    record,
    new orders.EngineAccount(record),
    {
      control,
      lease,
      self: core.brandId<core.InstanceId>("n"),
      leaseMs: 3_000,
      logger: quiet,
      onContact: (isReached) => contacts.push(isReached),
    },
    before,
  );
  return { sender, contacts, lostBecause: () => lost };
}

test("no order is sent before the engine's first report", async (t) => {
  const control = new ScriptedControl();
  const { sender } = makeSender(control);
  t.true(sender.isClosed(core.monotonicMs()));
  t.false(await sender.send({ kind: "load", model }, 10));
  t.is(control.sent.length, 0);
  await sender.settle();
  t.false(sender.isClosed(core.monotonicMs()));
});

test("an order whose answer is lost is sent again under one count", async (t) => {
  const control = new ScriptedControl();
  const { sender } = makeSender(control);
  await sender.settle();
  control.replies.push("dropped");
  t.true(await sender.send({ kind: "load", model }, 10));
  t.deepEqual(control.sent.map((order) => order.expectedOrderCount), [0, 0]);
  t.is(control.orderCount, 1);
});

test("an order that was carried out unheard is never carried out twice", async (t) => {
  const control = new ScriptedControl();
  const { sender } = makeSender(control);
  await sender.settle();
  control.replies.push("lost");
  t.false(await sender.send({ kind: "load", model }, 10));
  t.is(control.orderCount, 1);
  // The account is in doubt until the report has settled it.
  t.true(sender.isClosed(core.monotonicMs()));
  await sender.settle();
  t.is(sender.account.orderCount, 1);
});

test("a fenced order gives up the right to send any", async (t) => {
  const control = new ScriptedControl();
  const { sender, lostBecause } = makeSender(control);
  await sender.settle();
  control.replies.push("fenced");
  t.false(await sender.send({ kind: "load", model }, 10));
  t.regex(lostBecause(), /fence/);
});

test("a holder that sent nothing passes on when others ordered last", async (t) => {
  const nowMs = core.monotonicMs();
  const lastOrderAtMs = nowMs - 200;
  const known = makeSender(new ScriptedControl(), {
    orderCount: 0,
    lastOrderAtMs,
  }, nowMs + 2_500);
  await known.sender.settle();
  t.is(known.sender.lastOrderAtMs, lastOrderAtMs);

  // Of unknown orders the latest possible time is passed on.
  const unknown = makeSender(new ScriptedControl(), undefined, nowMs + 2_500);
  await unknown.sender.settle();
  t.is(unknown.sender.lastOrderAtMs, nowMs + 2_500 - 3_000);

  const first = makeSender(new ScriptedControl());
  await first.sender.settle();
  t.is(first.sender.lastOrderAtMs, undefined);
  await first.sender.send({ kind: "load", model }, 10);
  t.true((first.sender.lastOrderAtMs ?? 0) >= nowMs);
});

test("an engine whose orders are all known is ordered without a wait", async (t) => {
  const laterMs = core.monotonicMs() + 60_000;
  const known = makeSender(new ScriptedControl(), {
    orderCount: 0,
    lastOrderAtMs: undefined,
  }, laterMs);
  await known.sender.settle();
  t.false(known.sender.isClosed(core.monotonicMs()));

  const recent = makeSender(new ScriptedControl(), {
    orderCount: 0,
    lastOrderAtMs: core.monotonicMs() - 1_000,
  }, laterMs);
  await recent.sender.settle();
  t.true(recent.sender.isClosed(core.monotonicMs() + 1_500));
  t.false(recent.sender.isClosed(core.monotonicMs() + 2_100));

  const unknown = makeSender(new ScriptedControl(), {
    orderCount: 4,
    lastOrderAtMs: undefined,
  }, laterMs);
  await unknown.sender.settle();
  t.true(unknown.sender.isClosed(core.monotonicMs()));
});

test("an engine that is gone is told of, and not ordered on and on", async (t) => {
  const control = new ScriptedControl();
  const { sender, contacts } = makeSender(control);
  await sender.settle();
  control.replies.push("unreachable");
  t.false(await sender.send({ kind: "unload", model }, 0));
  t.deepEqual(contacts, [true, false]);
  t.true(sender.isClosed(core.monotonicMs()));
  t.false(sender.isClosed(core.monotonicMs() + 1_000));
  // Nothing is in doubt: the order never left.
  t.false(sender.mustSettle(core.monotonicMs()));
  t.true(sender.mustLook(core.monotonicMs() + 1_000));
});

test("an order that the engine did not count closes it for a while only", async (t) => {
  const control = new ScriptedControl();
  const { sender } = makeSender(control);
  await sender.settle();
  // An adapter on its way is not there to unload: nothing was counted.
  control.replies.push("alreadySo");
  t.true(await sender.send({ kind: "unload", model, adapter: "a" }, 0));
  t.is(sender.account.orderCount, 1);
  t.false(await sender.send({ kind: "load", model }, 10));
  t.true(sender.isClosed(core.monotonicMs()));
  await sender.settle();
  t.true(sender.isClosed(core.monotonicMs()));
  await core.sleep(1_600);
  await sender.settle();
  t.is(sender.account.orderCount, 0);
  t.true(await sender.send({ kind: "load", model }, 10));
});
