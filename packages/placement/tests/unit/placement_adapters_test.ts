import test from "ava";
import * as core from "../../../core/mod.ts";
import * as placement from "../../mod.ts";

const model = core.brandId<core.ModelName>("m");

function makeEngine(
  isEvictable: boolean,
  slotsFree = 0,
): placement.AdapterEngine {
  const replica = (adapter: string) => ({
    model,
    adapter,
    inFlight: 0,
    ratePerS: 0,
    isEvictable,
  });
  return {
    id: core.brandId<core.UpstreamId>("e"),
    isUsable: true,
    canOrder: true,
    slotsFree,
    freeMb: 100,
    models: new Set([model]),
    adapters: [replica("a1"), replica("a2")],
    inFlight: 0,
  };
}

const plan = (engine: placement.AdapterEngine) =>
  placement.planAdapters(
    [engine],
    [{ model, adapter: "a3", ratePerS: 1, waiting: 1 }],
    () => 10,
  );

test("an adapter that requests wait for is loaded into a free slot", (t) => {
  t.like(plan(makeEngine(false, 1))[0], { kind: "load", adapter: "a3" });
});

test("an adapter that was just loaded is not evicted for another one", (t) => {
  t.deepEqual(plan(makeEngine(false)), []);
  t.like(plan(makeEngine(true))[0], { kind: "unload", adapter: "a1" });
});
