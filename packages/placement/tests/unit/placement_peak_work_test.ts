import test from "ava";
import * as core from "../../../core/mod.ts";
import * as placement from "../../mod.ts";

const model = core.brandId<core.ModelName>("m");

function workAt(peak: placement.PeakWork, workMsPerS: number, nowMs: number) {
  const demand = new Map([[model, {
    ratePerS: 1,
    waiting: 0,
    workMsPerS,
    pinnedVersions: new Set<core.SoftwareVersion>(),
  }]]);
  return peak.apply(demand, nowMs).get(model)?.workMsPerS;
}

test("the peak of a wave counts through the lull after it, and then ends", (t) => {
  const peak = new placement.PeakWork();
  t.is(workAt(peak, 900, 0), 900);
  t.is(workAt(peak, 100, 3_000), 900);
  t.is(workAt(peak, 1_000, 3_500), 1_000);
  t.is(workAt(peak, 100, 8_000), 100);
});
