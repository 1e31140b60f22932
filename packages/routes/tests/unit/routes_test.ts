import test from "ava";
import process from "node:process";
import * as core from "../../../core/mod.ts";
import type * as fleet from "../../../fleet/mod.ts";
import * as routes from "../../mod.ts";

const service = (name: string) => core.brandId<core.ServiceName>(name);

function makeRoute(part: Partial<fleet.RouteSpec>): fleet.RouteSpec {
  return {
    name: "r",
    host: "shop.example",
    pathPrefix: "/a/",
    kind: "safe",
    timeoutMs: 1_000,
    latencyTargetMs: 100,
    eventGapTargetMs: 300,
    priority: 1,
    targets: [{ service: service("s"), weight: 1 }],
    attemptsMax: 1,
    isResumable: false,
    ...part,
  };
}

const table = new routes.RouteTable(1, [
  makeRoute({ name: "short", pathPrefix: "/a/" }),
  makeRoute({ name: "long", pathPrefix: "/a/b/" }),
  makeRoute({ name: "other", host: "other.example", pathPrefix: "/" }),
]);

const cases: [string, string, string | undefined][] = [
  ["shop.example", "/a/x", "short"],
  ["shop.example", "/a/b/x", "long"],
  ["shop.example", "/a/b", "short"],
  ["shop.example", "/a/b/", "long"],
  ["shop.example", "/a/?to=/a/b/", "short"],
  ["shop.example", "/ab/x", undefined],
  ["SHOP.example:8080", "/a/x", "short"],
  ["other.example", "/", "other"],
  ["other.example", "/any/path", "other"],
  ["nobody.example", "/a/x", undefined],
];

for (const [host, path, name] of cases) {
  test(`${host}${path} selects ${name}`, (t) => {
    t.is(table.match(host, path)?.name, name);
  });
}

test("targets are selected by weight, and never with a weight of 0", (t) => {
  const route = makeRoute({
    targets: [
      { service: service("none"), weight: 0 },
      { service: service("most"), weight: 90 },
      { service: service("few"), weight: 10 },
    ],
  });
  t.is(routes.pickTarget(route, 0), service("most"));
  t.is(routes.pickTarget(route, 0.89), service("most"));
  t.is(routes.pickTarget(route, 0.91), service("few"));
  t.is(routes.pickTarget(route, 0.999999), service("few"));
  const unweighted = makeRoute({
    targets: [{ service: service("none"), weight: 0 }],
  });
  t.is(routes.pickTarget(unweighted, 0.5), undefined);
});

// Guards against a caller whose path takes the processor from all others.
test("a path of many slashes is matched within the time to pass on a request", (t) => {
  const { cpuUsage } = process;
  const before = cpuUsage();
  t.is(table.match("shop.example", "/".repeat(60_000)), undefined);
  t.is(
    table.match("shop.example", `/a/b/${"/".repeat(60_000)}`)?.name,
    "long",
  );
  const { user } = cpuUsage(before);
  t.true(user < 2 * 120_000, `took ${user / 1_000} ms`);
});
