import test from "ava";
import * as core from "../../../core/mod.ts";
import type * as placement from "../../../placement/mod.ts";
import { findRateLimited } from "../../entry_rate_limited.ts";
import { makeNode, MODEL } from "../selector_node.ts";

const demandOf = (ratePerS: number) =>
  new Map<core.ModelName, placement.ModelDemand>([[MODEL, {
    ratePerS,
    waiting: 0,
    workMsPerS: 10,
    pinnedVersions: new Set(),
  }]]);

// Guards against a model that only an engine holds which takes few requests,
// and against loads that no engine gets as all of them have limits.
test("replicas are counted on unless their engine takes too few requests", (t) => {
  const { state } = makeNode(["e1", "e2"]);
  const { namedRates } = state.upstreams;
  const engines = [...state.upstreams.all()];
  const find = (ratePerS: number) =>
    [...findRateLimited(engines, namedRates, demandOf(ratePerS))]
      .map(({ record }) => String(record.id));
  t.deepEqual(find(5), []);
  const nowMs = core.monotonicMs();
  state.recordRateLimit(engines[0]!.record, 2, nowMs, nowMs);
  t.deepEqual(find(5), ["e1"]);
  t.deepEqual(find(2), []);
  state.recordRateLimit(engines[1]!.record, 1, nowMs, nowMs);
  t.deepEqual(find(1.5), ["e2"]);
  t.deepEqual(find(5), []);
});
