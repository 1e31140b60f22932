import test from "ava";
import * as core from "../../../core/mod.ts";
import { findTreePlace, type TreeNode } from "../../entry_topology.ts";

function makeNodes(domains: number, perDomain: number): TreeNode[] {
  return Array.from({ length: domains * perDomain }, (_, n) => ({
    node: core.brandId<core.InstanceId>(`front-${n % domains}-${n}`),
    failureDomain: `domain-${n % domains}`,
  }));
}

function countChildren(alive: readonly TreeNode[], root: core.InstanceId) {
  const children = new Map<core.InstanceId, number>();
  for (const self of alive) {
    const { role, parent } = findTreePlace(self, root, alive, () => false);
    if (role === "root") continue;
    children.set(parent, (children.get(parent) ?? 0) + 1);
  }
  return children;
}

test("few nodes all exchange with the root", (t) => {
  const alive = makeNodes(3, 4);
  const root = alive[0]!.node;
  t.deepEqual([...countChildren(alive, root)], [[root, 11]]);
});

test("no node answers many others, whatever the size of the fleet", (t) => {
  for (const [domains, perDomain] of [[5, 16], [5, 78], [1, 100]] as const) {
    const alive = makeNodes(domains, perDomain);
    const children = countChildren(alive, alive[0]!.node);
    const most = Math.max(...children.values());
    t.true(most <= 45, `${most} children of ${alive.length} nodes`);
    t.true(children.size >= domains);
  }
});

test("leaves exchange inside their failure domain, leaders with the root", (t) => {
  const alive = makeNodes(5, 16);
  const root = alive[0]!.node;
  const byName = new Map(alive.map((each) => [each.node, each]));
  for (const self of alive) {
    const place = findTreePlace(self, root, alive, () => false);
    if (place.role === "leader") t.is(place.parent, root);
    if (place.role !== "leaf") continue;
    const parent = byName.get(place.parent)!;
    t.is(parent.failureDomain, self.failureDomain);
    t.is(findTreePlace(parent, root, alive, () => false).role, "leader");
  }
});

test("a leader that does not answer is replaced at once", (t) => {
  const alive = makeNodes(5, 16);
  const root = alive[0]!.node;
  const self = alive.find((each) =>
    findTreePlace(each, root, alive, () => false).role === "leaf"
  )!;
  const { parent } = findTreePlace(self, root, alive, () => false);
  const next = findTreePlace(self, root, alive, (node) => node === parent);
  t.not(next.parent, parent);
});
