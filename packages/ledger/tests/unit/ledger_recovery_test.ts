/** What remains in a row, or in a controller, after orders that were not sent. */
import test from "ava";
import * as core from "../../../core/mod.ts";
import { addLoadRetry } from "../../ledger_row.ts";
import * as ledger from "../../mod.ts";
import {
  artifactId,
  ORDER_DELAY_MAX_MS,
  stateOf,
  UPSTREAM_ID,
  withHarness,
} from "../ledger_harness.ts";

const SENT = core.brandId<core.TransmissionId>("tx-sent");
const RETRY = core.brandId<core.TransmissionId>("tx-retry");

function loadOf(
  transmissionId: core.TransmissionId,
): ledger.LedgerTransmission {
  return { transmissionId, kind: "load", sender: core.brandId("in-1") };
}

function emptyRow(): ledger.LedgerRow {
  return {
    incarnation: core.brandId("engine-1#1"),
    capacityBytes: 50,
    kvReserveBytes: 5,
    roleOverheadBytes: 5,
    entries: [],
  };
}

test("an unsent retry keeps the bytes of a load that may be in flight", (t) => {
  const artifact = { artifactId: artifactId("a"), weightBytes: 20 };
  const loaded = ledger.addLoad(emptyRow(), artifact, loadOf(SENT))
    ._unsafeUnwrap();
  const retried = addLoadRetry(loaded, artifact, loadOf(RETRY))
    ._unsafeUnwrap();
  t.deepEqual(ledger.removeUnsent(retried, RETRY), loaded);
  t.deepEqual(ledger.removeUnsent(loaded, SENT).entries, []);
});

test("a second cooldown takes as long as the first", (t) =>
  withHarness(false, async (harness) => {
    const controller = harness.controller();
    const isCooling = (row: ledger.LedgerRow) =>
      stateOf(row, "a") === "cooling";
    const isResident = (row: ledger.LedgerRow) =>
      stateOf(row, "a") === "resident";
    t.true((await harness.load(controller, "a")).isOk());
    await harness.reconcileUntil(controller, isResident);
    await harness.unload(controller, "a");
    await harness.reconcileUntil(controller, isCooling);
    await controller.reconcile(UPSTREAM_ID, harness.engine);
    // The engine holds it again, so the cooldown ends early.
    harness.fake.memory.reserve(artifactId("a"), 20);
    harness.fake.memory.markReady(artifactId("a"));
    await harness.reconcileUntil(controller, isResident);
    await core.sleep(ORDER_DELAY_MAX_MS * 10);
    await harness.unload(controller, "a");
    await harness.reconcileUntil(controller, isCooling);
    const coolingAtMs = core.monotonicMs();
    await harness.reconcileUntil(controller, (row) => row.entries.length === 0);
    t.true(core.monotonicMs() - coolingAtMs >= ORDER_DELAY_MAX_MS * 10 * 0.9);
  }, ORDER_DELAY_MAX_MS * 10));

test("a role change that was recorded but never sent is removed", (t) =>
  withHarness(true, async (harness) => {
    const controller = harness.controller();
    harness.service.faults = ["lostAfter", "refused", "refused", "refused"];
    const change = { role: "decode" as const, roleOverheadBytes: 15 };
    const result = await controller
      .changeRole(UPSTREAM_ID, harness.engine, change);
    t.is(result._unsafeUnwrapErr(), "store-down");
    await harness.reconcileUntil(
      controller,
      (row) => row.roleChange === undefined && row.roleOverheadBytes === 5,
    );
    t.is(harness.fake.orders.length, 0);
  }));

test("transmissions that were not sent are forgotten once they cannot return", (t) =>
  withHarness(false, async (harness) => {
    const controller = harness.controller();
    for (let n = 0; n < 20; n++) {
      harness.service.faults = ["lostAfter", "refused", "refused", "refused"];
      await harness.load(controller, "a");
      await harness.reconcileUntil(
        controller,
        (row) => row.entries.length === 0,
      );
    }
    await controller.reconcile(UPSTREAM_ID, harness.engine);
    t.true(controller.unsentCount <= 1, String(controller.unsentCount));
  }));

test("a reconciliation tells a store that failed from a conflict", (t) =>
  withHarness(false, async (harness) => {
    const controller = harness.controller();
    t.true((await harness.load(controller, "a")).isOk());
    await core.sleep(50);
    harness.service.faults = ["refused"];
    const result = await controller.reconcile(UPSTREAM_ID, harness.engine);
    t.is(result._unsafeUnwrapErr(), "store-down");
  }));

test("load slots that cannot be read are not free", (t) =>
  withHarness(false, async (harness) => {
    const controller = harness.controller();
    harness.service.fake.transact({
      checks: [],
      writes: [{ key: "slots/weights", value: { holders: "none" } }],
    });
    const result = await harness.load(controller, "a");
    t.is(result._unsafeUnwrapErr(), "store-down");
    t.is(harness.fake.orders.length, 0);
  }));
