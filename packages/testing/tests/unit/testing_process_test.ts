import test from "ava";
import * as testing from "../../mod.ts";

const SCRIPT = `
console.error("early");
console.log("{}");
setTimeout(() => { console.error("late"); }, 50);
setTimeout(() => {}, 100);
`;

test("a process keeps its early and its late lines of stderr", async (t) => {
  const started = await testing.startProcess("script", ["-e", SCRIPT]);
  t.is(await started.exited(), 0);
  await testing.waitUntil(
    "the last line is there",
    () => started.stderrLines.length === 2,
    5_000,
  );
  t.deepEqual([...started.stderrLines], ["early", "late"]);
});

test("entries that start at once are in different failure domains", (t) => {
  const cluster = new testing.TestCluster();
  const names = ["entry-1", "entry-2", "entry-3"];
  const domains = names.map((name) => cluster.failureDomainOf(name));
  t.is(new Set(domains).size, 3);
  t.is(cluster.failureDomainOf("entry-2"), domains.at(1) ?? "");
});
