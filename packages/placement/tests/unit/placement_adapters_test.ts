import test from "ava";
import * as core from "../../../core/mod.ts";
import * as placement from "../../mod.ts";

const model = core.brandId<core.ModelName>("m");

function makeEngine(
  isEvictable: boolean,
  slotsFree = 0,
): placement.AdapterEngine {
  const copy = (adapter: string) => ({
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
    adapters: [copy("a1"), copy("a2")],
    inFlight: 0,
  };
}

const plan = (engine: placement.AdapterEngine) =>
  placement.planAdapters(
    [engine],
    [{ model, adapter: "a3", ratePerS: 1, waiting: 1 }],
    () => 10,
  );

test("an adapter that requests wait for is loaded where there is room", (t) => {
  t.like(plan(makeEngine(false, 1))[0], { kind: "load", adapter: "a3" });
});

test("adapters asked for in turn: one that was only just loaded stays", (t) => {
  t.deepEqual(plan(makeEngine(false)), []);
  t.like(plan(makeEngine(true))[0], { kind: "unload", adapter: "a1" });
});
