/** Requests for calls that may not be repeated, at their deadlines. */
import test from "ava";
import { err, ok } from "neverthrow";
import * as core from "../../../core/mod.ts";
import type * as store from "../../../store/mod.ts";
import * as testing from "../../../testing/mod.ts";
import * as claims from "../../mod.ts";

const OUTAGE: store.StoreFailure = {
  effect: "none",
  reached: false,
  detail: "outage",
};
const OUTCOME = { status: 200, contentType: "text/plain", bodyText: "ok" };

/** A runner whose writes of claims are committed after a time. */
function makeRunner(writeMs: () => number): claims.ClaimRunner {
  let version = 0;
  const transactor: claims.ClaimTransactor = {
    transact: async () => {
      await core.sleep(writeMs());
      return ok({ outcome: "committed", version: ++version });
    },
  };
  const objects: claims.ClaimObjects = {
    put: () => Promise.resolve(err(OUTAGE)),
    get: () => Promise.resolve(err(OUTAGE)),
  };
  class NoPeers extends claims.ClaimPeers {
    override queryFate(): Promise<claims.ClaimFate> {
      return Promise.resolve({ kind: "unreachable" });
    }
  }
  return new claims.ClaimRunner({
    instanceId: core.brandId("entry-0"),
    incarnation: core.brandId("in-0"),
    store: new claims.ClaimStore(transactor, objects),
    peers: new NoPeers(),
    unsettledMax: 10_000,
    settleWaitMs: 20,
  });
}

function makeRequest(key: string, remainingMs: number): claims.ClaimRequest {
  return {
    callerId: core.brandId("kiosk"),
    key: core.brandId(key),
    bodyHash: "body",
    deadline: new core.Deadline(remainingMs),
  };
}

/** A deadline whose timer fires before the clock says that it has passed. */
class EarlyDeadline extends core.Deadline {
  override waitFor<T>(_promise: Promise<T>): Promise<T | undefined> {
    return Promise.resolve(undefined);
  }
}

// Whoever is told at the deadline that its call was not run must be able to rely
// on it, also if the claim is written just then and timers run early.
test("a call that is refused at its deadline is never dispatched", async (t) => {
  const runner = makeRunner(() => 20);
  let runs = 0;
  const request = {
    ...makeRequest("order-1", 1_000),
    deadline: new EarlyDeadline(1_000),
  };
  const result = await runner.run(request, () => {
    runs++;
    return Promise.resolve({ kind: "answered", outcome: OUTCOME });
  });
  t.is(result._unsafeUnwrapErr().ran, "no");
  await testing.waitUntil(
    "the claim is released",
    () => runner.registry.size === 0,
  );
  t.is(runs, 0);
});

// A retry that waits for the first request must not be told that nothing ran.
test("a retry whose first request is in flight is never reported as not run", async (t) => {
  const runner = makeRunner(() => 1);
  void runner.run(
    makeRequest("order-1", 1_000),
    () => new Promise(() => undefined),
  );
  await core.sleep(20);
  for (const remainingMs of [5, 10, 20, 40]) {
    const result = await runner
      .run(makeRequest("order-1", remainingMs), () => {
        throw new Error("dispatched twice");
      });
    t.is(result._unsafeUnwrapErr().result, core.CLAIM_IN_FLIGHT);
  }
});
