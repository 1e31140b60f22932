import test from "ava";
import * as core from "../../../core/mod.ts";
import * as placement from "../../mod.ts";

const model = core.brandId<core.ModelName>("m");
const v1 = core.brandId<core.SoftwareVersion>("v1");
const v3 = core.brandId<core.SoftwareVersion>("v3");
const v2 = core.brandId<core.SoftwareVersion>("v2");

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
    softwareVersion: v1,
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
    [{
      model,
      adapter: "a3",
      ratePerS: 1,
      waiting: 1,
      pinnedVersions: new Set(),
    }],
    () => 10,
  );

test("an adapter that requests wait for is loaded into a free slot", (t) => {
  t.like(plan(makeEngine(false, 1))[0], { kind: "load", adapter: "a3" });
});

test("an adapter that was just loaded is not evicted for another one", (t) => {
  t.deepEqual(plan(makeEngine(false)), []);
  t.like(plan(makeEngine(true))[0], { kind: "unload", adapter: "a1" });
});

/** Plans for a waiting request on two engines of different versions. */
function planPinned(
  pinned: readonly core.SoftwareVersion[],
  adapter: string,
  holders: readonly core.SoftwareVersion[],
): placement.AdapterAction[] {
  // The engine of the other version has less to do.
  const engines = [v1, v2].map((softwareVersion, n) => ({
    ...makeEngine(false, 1),
    id: core.brandId<core.UpstreamId>(`e-${softwareVersion}`),
    softwareVersion,
    adapters: holders.includes(softwareVersion)
      ? [{ model, adapter, inFlight: 0, ratePerS: 0, isEvictable: false }]
      : [],
    inFlight: 2 - n,
  }));
  const demand = { model, adapter, ratePerS: 1, waiting: 1 };
  return placement.planAdapters(
    engines,
    [{ ...demand, pinnedVersions: new Set(pinned) }],
    () => 10,
  );
}

// Guards against streams that cannot go on at their software version, as their
// adapter is loaded on an engine of another one alone.
test("an adapter is loaded on an engine of the version that a stream needs", (t) => {
  const engineIds = (actions: readonly placement.AdapterAction[]) =>
    actions.map(({ kind, engine }) => `${kind} ${engine}`);
  t.deepEqual(engineIds(planPinned([], "a1", [])), ["load e-v2"]);
  t.deepEqual(engineIds(planPinned([v1], "a1", [])), ["load e-v1"]);
  t.deepEqual(engineIds(planPinned([v1], "a1", [v2])), ["load e-v1"]);
  t.deepEqual(engineIds(planPinned([v1, v2], "a1", [])), [
    "load e-v1",
    "load e-v2",
  ]);
  t.deepEqual(planPinned([v1], "a1", [v1]), []);
  // Others wait as well, though no engine of that version can load it.
  t.deepEqual(engineIds(planPinned([v3], "a1", [])), ["load e-v2"]);
  t.deepEqual(planPinned([], "a1", [v2]), []);
});
