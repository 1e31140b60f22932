import test from "ava";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";

const cluster = new testing.TestCluster({
  entries: 1,
  engines: 1,
  services: { stock: 2, orders: 1 },
  rows: [testing.makeRow("llama")],
});
let origin = "";

test.before(async () => {
  await cluster.start();
  origin = cluster.entries[0]?.ready.callerAddress ?? "";
  await testing.complete(origin, { model: "llama", prompt: "warm" });
});

test.after.always(() => cluster.stop());

/** Statuses that promise that a request has not run and never will. */
const PROMISES = [408, 421, 429, 503];

// Guards against 503 for a completion that ran on an engine whose answer was
// lost, as the budget for retries was spent.
test.serial("a completion that ran without an answer gets no 503", async (t) => {
  const [engine] = cluster.engines;
  engine?.faults.inject({ name: "loseReply", match: "completions" });
  const before = engine?.attempts.size ?? 0;
  const codes = new Set<unknown>();
  await testing.waitUntil("the retry budget is spent", async () => {
    const { status, body } = await testing.complete(origin, {
      model: "llama",
      prompt: "lost",
    });
    if (body.ran === "no") return false;
    codes.add(body.code);
    t.false(PROMISES.includes(status), `${status} ${JSON.stringify(body)}`);
    return codes.has(core.RETRY_BUDGET_SPENT.code);
  });
  engine?.faults.clear();
  t.true((engine?.attempts.size ?? 0) > before);
});

// Guards against 503 for a call that ran at one instance and was then refused by
// another.
test.serial("a call that ran and was then refused gets no 503", async (t) => {
  const [running, refusing] = cluster.services.get("stock") ?? [];
  running?.faults.inject({ name: "cutAfterRun" });
  refusing?.faults.inject({ name: "refuse" });
  const codes = new Set<unknown>();
  await testing.waitUntil("the second instance refuses", async () => {
    const { status, body } = await testing.callService(origin, {
      service: "stock",
      path: "count",
      body: {},
    });
    if (body.ran === "no") return false;
    codes.add(body.code);
    t.false(PROMISES.includes(status), `${status} ${JSON.stringify(body)}`);
    return codes.has(core.UPSTREAM_REFUSED.code);
  });
  t.true(codes.has(core.UPSTREAM_REFUSED.code), [...codes].join(" "));
});

// Guards against a service's own 503, after a run, that is passed on as a promise
// of this system.
for (
  const { name, call } of [
    { name: "repeatable", call: { service: "stock", path: "count" } },
    {
      name: "at most once",
      call: { service: "orders", path: "dispense", key: "own-status" },
    },
  ]
) {
  test.serial(`a service's own 503 is not passed on: ${name}`, async (t) => {
    const services = cluster.services.get(call.service) ?? [];
    for (const { faults } of services) {
      faults.clear();
      faults.inject({ name: "busyAfterRun" });
    }
    const runs = () =>
      services.reduce((sum, { attempts }) => sum + attempts.size, 0);
    const before = runs();
    await testing.waitUntil("the call runs", async () => {
      const response = await testing.callService(origin, { ...call, body: {} });
      if (runs() === before) return false;
      const { status, body } = response;
      t.false(PROMISES.includes(status), `${status} ${JSON.stringify(body)}`);
      t.is(body.ran, "unknown");
      return true;
    });
  });
}
