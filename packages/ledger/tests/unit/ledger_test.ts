import test from "ava";
import fc from "fast-check";
import process from "node:process";
import * as core from "../../../core/mod.ts";
import * as ledger from "../../mod.ts";

import {
  artifactId,
  type Harness,
  ORDER_DELAY_MAX_MS,
  stateOf,
  UPSTREAM_ID,
  withHarness,
} from "../ledger_harness.ts";

for (const honours of [true, false]) {
  const kind = honours ? "honours" : "ignores";

  test(`an engine that ${kind} fencing: a load that does not fit is not sent`, (t) =>
    withHarness(honours, async (harness) => {
      const controller = harness.controller();
      t.true((await harness.load(controller, "a")).isOk());
      t.true((await harness.load(controller, "b")).isOk());
      const third = await harness.load(controller, "c");
      t.is(third._unsafeUnwrapErr(), "no-room");
      await harness.reconcileUntil(
        controller,
        (row) => stateOf(row, "b") === "resident",
      );
      t.is(harness.fake.memory.overcommits, 0);
      t.is(harness.fake.orders.length, 2);
    }));

  test(`an engine that ${kind} fencing: concurrent loads fit in memory`, (t) =>
    withHarness(honours, async (harness) => {
      const names = ["a", "b", "c", "d"];
      const results = await Promise.all(
        names.map((name) =>
          harness.load(harness.controller(`in-${name}`), name)
        ),
      );
      t.true(results.filter((result) => result.isOk()).length <= 2);
      await core.sleep(30);
      t.is(harness.fake.memory.overcommits, 0);
    }));

  test(`an engine that ${kind} fencing: a late load order fits in memory`, (t) =>
    withHarness(honours, async (harness) => {
      const frozen = harness.controller("in-frozen");
      harness.fake.faults.inject({ name: "lateOrder", count: 1, delayMs: 120 });
      await harness.load(frozen, "a");
      const other = harness.controller("in-other");
      t.true((await harness.load(other, "b")).isOk());
      const third = await harness.load(other, "c");
      // An engine that honours fencing may have rejected the late order by now,
      // which frees its bytes.
      if (!honours) t.is(third._unsafeUnwrapErr(), "no-room");
      await core.sleep(200);
      t.is(harness.fake.memory.overcommits, 0);
    }));

  test(`an engine that ${kind} fencing: a lost load stays reserved until a restart`, (t) =>
    withHarness(honours, async (harness) => {
      const controller = harness.controller();
      harness.fake.faults.inject({ name: "dropOrder", count: 1 });
      await harness.load(controller, "a");
      t.true((await harness.load(controller, "b")).isOk());
      await core.sleep(ORDER_DELAY_MAX_MS * 2);
      await harness.reconcileUntil(
        controller,
        (row) => stateOf(row, "b") === "resident",
      );
      t.is((await harness.load(controller, "c"))._unsafeUnwrapErr(), "no-room");
      harness.fake.restart();
      await harness.reconcileUntil(
        controller,
        (row) => row.entries.length === 0,
      );
      t.true((await harness.load(controller, "c")).isOk());
      t.is(harness.fake.memory.overcommits, 0);
    }));

  test(`an engine that ${kind} fencing: a lost load is retried and applied once`, (t) =>
    withHarness(honours, async (harness) => {
      const controller = harness.controller();
      harness.fake.faults.inject({ name: "dropOrder", count: 1 });
      await harness.load(controller, "a");
      t.is((await harness.load(controller, "a"))._unsafeUnwrapErr(), "busy");
      t.true((await harness.retryLoad(controller, "a")).isOk());
      await harness.reconcileUntil(
        controller,
        (row) => stateOf(row, "a") === "resident",
      );
      t.true((await harness.unload(controller, "a")).isOk());
      await harness.reconcileUntil(
        controller,
        (row) => row.entries.length === 0,
      );
      t.is(harness.fake.memory.overcommits, 0);
      t.is(harness.fake.loads, 1);
    }));

  test(`an engine that ${kind} fencing: a load is retried but its first order is only late`, (t) =>
    withHarness(honours, async (harness) => {
      const controller = harness.controller();
      // Long enough for the retry to arrive first even on a busy machine.
      harness.fake.faults.inject({
        name: "lateOrder",
        count: 1,
        delayMs: 1_000,
      });
      await harness.load(controller, "a");
      t.true((await harness.retryLoad(controller, "a")).isOk());
      await harness.reconcileUntil(
        controller,
        (row) => stateOf(row, "a") === "resident",
      );
      t.true((await harness.unload(controller, "a")).isOk());
      const others = ["b", "c"].map(async (name) => {
        const deadline = new core.Deadline(4_000);
        while (!deadline.isOver()) {
          if ((await harness.load(controller, name)).isOk()) return;
          await core.sleep(20);
        }
      });
      await Promise.all(others);
      await core.sleep(1_200);
      t.is(harness.fake.memory.overcommits, 0);
      // If the engine applied the late order, the ledger records the artifact.
      const row = await controller.reconcile(UPSTREAM_ID, harness.engine);
      const isOnEngine = harness.fake.memory.isReady(artifactId("a"));
      t.is(row.isOk() && stateOf(row.value, "a") === "resident", isOnEngine);
      t.true(!honours || !isOnEngine);
    }, 1_500));

  test(`an engine that ${kind} fencing: a duplicate load after the unload`, (t) =>
    withHarness(honours, async (harness) => {
      const controller = harness.controller();
      harness.fake.faults.inject({
        name: "doubleOrder",
        count: 1,
        delayMs: 300,
      });
      await harness.load(controller, "a");
      await harness.reconcileUntil(
        controller,
        (row) => stateOf(row, "a") === "resident",
      );
      t.true((await harness.unload(controller, "a")).isOk());
      await harness.reconcileUntil(
        controller,
        (row) => stateOf(row, "a") !== "unloading",
      );
      const deadline = new core.Deadline(5_000);
      for (const name of ["b", "c"]) {
        while (!deadline.isOver()) {
          if ((await harness.load(controller, name)).isOk()) break;
          await core.sleep(2);
        }
      }
      await core.sleep(400);
      t.is(harness.fake.memory.overcommits, 0);
      t.true(harness.fake.memory.isReady(artifactId("b")));
    }, 400));
}

test("a session opened before an engine restart delivers no order", (t) =>
  withHarness(false, async (harness) => {
    const session = (await harness.engine.openOrderSession())._unsafeUnwrap();
    const transmissionId = core.brandId<core.TransmissionId>("tx-frozen");
    const weightBytes = 20;
    const before = harness.fake.orders.length;
    const { origin } = harness.fake;
    await harness.fake.stop();
    harness.fake.restart();
    await harness.fake.start(Number(new URL(origin).port));
    await core.sleep(50);
    const sent = await session.send({
      transmissionId,
      fencing: 1,
      kind: "load",
      artifactId: artifactId("a"),
      weightBytes,
    });
    t.true(sent.isErr());
    t.is(harness.fake.orders.length, before);
    await session.close();
  }));

test("a ledger write whose reply was lost is recognized as committed", (t) =>
  withHarness(false, async (harness) => {
    const controller = harness.controller();
    harness.service.faults = ["lostAfter"];
    t.true((await harness.load(controller, "a")).isOk());
    await harness.reconcileUntil(
      controller,
      (row) => stateOf(row, "a") === "resident",
    );
    t.is(harness.fake.orders.length, 1);
  }));

test("an order that was recorded but never sent frees its bytes", (t) =>
  withHarness(false, async (harness) => {
    const controller = harness.controller();
    harness.service.faults = ["lostAfter", "refused", "refused", "refused"];
    const result = await harness.load(controller, "a");
    t.is(result._unsafeUnwrapErr(), "store-down");
    await harness.reconcileUntil(controller, (row) => row.entries.length === 0);
    t.is(harness.fake.orders.length, 0);
  }));

test("a role change reserves the larger overhead until it is confirmed", (t) =>
  withHarness(true, async (harness) => {
    const controller = harness.controller();
    t.true((await harness.load(controller, "a")).isOk());
    await harness.reconcileUntil(
      controller,
      (row) => stateOf(row, "a") === "resident",
    );
    harness.fake.faults.inject({ name: "lateOrder", count: 1, delayMs: 100 });
    const change = { role: "decode" as const, roleOverheadBytes: 15 };
    const sent = await controller.changeRole(
      UPSTREAM_ID,
      harness.engine,
      change,
    );
    t.true(sent.isOk());
    t.is((await harness.load(controller, "b"))._unsafeUnwrapErr(), "no-room");
    await harness.reconcileUntil(
      controller,
      (row) => row.roleChange === undefined,
    );
    t.true((await harness.load(controller, "b")).isOk());
  }));

type Step =
  | {
    readonly kind: "load" | "unload";
    readonly name: string;
    readonly by: number;
  }
  | { readonly kind: "reconcile"; readonly by: number }
  | { readonly kind: "restart" }
  | {
    readonly kind: "fault";
    readonly fault: "lateOrder" | "dropOrder" | "doubleOrder" | "dropResolved";
  };

const names = fc.constantFrom("a", "b", "c", "d");
const by = fc.nat({ max: 1 });
const steps = fc.array(
  fc.oneof(
    fc.record({ kind: fc.constant("load" as const), name: names, by }),
    fc.record({ kind: fc.constant("unload" as const), name: names, by }),
    fc.record({ kind: fc.constant("reconcile" as const), by }),
    fc.record({ kind: fc.constant("restart" as const) }),
    fc.record({
      kind: fc.constant("fault" as const),
      fault: fc.constantFrom(
        "lateOrder" as const,
        "dropOrder" as const,
        "doubleOrder" as const,
        "dropResolved" as const,
      ),
    }),
  ),
  { maxLength: 25 },
);

async function applyStep(
  step: Step,
  harness: Harness,
  controllers: readonly ledger.LedgerController[],
): Promise<void> {
  if (step.kind === "restart") {
    harness.fake.restart();
    return;
  }
  if (step.kind === "fault") {
    const delayMs = ORDER_DELAY_MAX_MS * 2 / 3;
    harness.fake.faults.inject({ name: step.fault, count: 1, delayMs });
    return;
  }
  const controller = controllers[step.by];
  if (!controller) return;
  if (step.kind === "load") await harness.load(controller, step.name);
  if (step.kind === "unload") await harness.unload(controller, step.name);
  if (step.kind === "reconcile") {
    await controller.reconcile(UPSTREAM_ID, harness.engine);
  }
}

for (const honours of [true, false]) {
  const kind = honours ? "honours" : "ignores";
  test(`memory is never overcommitted; the engine ${kind} fencing`, async (t) => {
    const property = fc.asyncProperty(
      steps,
      (plan) =>
        withHarness(honours, async (harness) => {
          const controllers = [
            harness.controller("in-1"),
            harness.controller("in-2"),
          ];
          for (const step of plan) await applyStep(step, harness, controllers);
          await core.sleep(ORDER_DELAY_MAX_MS);
          if (harness.fake.memory.overcommits > 0) {
            throw new Error(
              `memory overcommitted: ${harness.fake.memory.peakBytes} bytes at the peak`,
            );
          }
        }),
    );
    const seed = Number(process.env.SEED ?? 20261204);
    t.log(`seed ${seed}`);
    await fc.assert(property, { seed, numRuns: 120 });
    t.pass();
  });
}
