import test from "ava";
import * as core from "../../../core/mod.ts";
import type * as fleet from "../../../fleet/mod.ts";
import { FleetSizes, shareConnections, type SizedNode } from "../../mod.ts";
import {
  LARGE,
  makeEqualFleet,
  makeMixedFleet,
  MEDIUM,
  SMALL,
} from "../fleets.ts";

function makeNodes(
  ...machines: (fleet.MachineSpec | undefined)[]
): SizedNode[] {
  return machines.map((machine, index) => ({
    node: core.brandId<core.InstanceId>(`n${index}`),
    failureDomain: "d",
    ...(machine ? { machine } : {}),
  }));
}

function weightsOf(nodes: readonly SizedNode[]): number[] {
  const sizes = new FleetSizes(nodes);
  return nodes.map(({ node }) => Number(sizes.weight(node).toFixed(3)));
}

// Guards against weights by the largest link: the six large machines would get
// half of all callers with a fifth of the processor.
test("58, 20 and 6 machines of three sizes get callers by their scarcest resource", (t) => {
  const nodes = makeMixedFleet(84, 5);
  const weights = new Set(weightsOf(nodes));
  t.deepEqual([...weights], [0.243, 0.608, 1]);
  const sizes = new FleetSizes(nodes);
  const sum = nodes.reduce((total, { node }) => total + sizes.weight(node), 0);
  const ofLarge = nodes.filter(({ machine }) => machine === LARGE).length / sum;
  t.true(ofLarge > 0.15 && ofLarge < 0.25, String(ofLarge));
});

test("machines that differ by less than half have equal weights", (t) => {
  t.deepEqual(
    weightsOf(makeNodes({ processorCores: 1 }, { processorCores: 0.51 })),
    [1, 1],
  );
  t.deepEqual(
    weightsOf(makeNodes({ processorCores: 1 }, { processorCores: 0.5 })),
    [1, 0.5],
  );
  t.false(new FleetSizes(makeEqualFleet(4, 2)).differ);
  t.false(new FleetSizes(makeNodes(undefined, undefined)).differ);
  t.false(new FleetSizes([]).differ);
});

test("a machine of unknown size counts as the median one", (t) => {
  const [small, unknown, medium, large] = weightsOf(
    makeNodes(SMALL, undefined, MEDIUM, LARGE),
  );
  t.is(unknown, medium);
  t.true(small! < medium! && medium! < large!);
  const sizes = new FleetSizes(makeNodes(SMALL, MEDIUM, LARGE));
  t.is(
    sizes.weight(core.brandId<core.InstanceId>("other")).toFixed(3),
    String(medium),
  );
});

test("large machines come first, in their order, if sizes differ", (t) => {
  const nodes = makeNodes(SMALL, LARGE, SMALL, MEDIUM);
  const names = nodes.map(({ node }) => node);
  t.deepEqual(
    new FleetSizes(nodes).largeFirst(names).map(String),
    ["n1", "n3", "n0", "n2"],
  );
  const equal = makeEqualFleet(4, 2);
  t.deepEqual(
    new FleetSizes(equal).largeFirst(equal.map(({ node }) => node)),
    equal.map(({ node }) => node),
  );
});

test("connections are shared by weight and never exceed the budget of 320", (t) => {
  const weights = [...Array(58).fill(0.243), ...Array(20).fill(0.608)];
  const few = [1, 1, 0.2, 0.2, 0.2, 0.2];
  const total = (all: readonly number[], budget: number) =>
    all.reduce((sum, own) => sum + shareConnections(own, all, budget, 4), 0);
  t.is(shareConnections(1, few, 320, 4), 114);
  t.is(shareConnections(0.2, few, 320, 4), 22);
  t.true(total(few, 320) <= 320);
  // At the minimum for all, as with equal shares.
  t.is(total(weights, 300), 78 * 4);
  t.is(shareConnections(1, [1, 0.2, 0.2], 100, 20), 60);
});
