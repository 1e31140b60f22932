/**
 * The demo: runs a whole system on loopback under load, edits the table, stops
 * one entry instance, and checks that no call was lost, run twice, cut off or
 * given another call's content. With `--keep`, only starts the system, prints
 * its addresses, tokens and process ids as JSON, and runs until it is stopped.
 */
import process from "node:process";
import * as core from "../core/mod.ts";
import * as testing from "../testing/mod.ts";
import {
  CachedEntryList,
  TrafficGenerator,
  type TrafficReport,
} from "./demo_traffic.ts";
import { DemoCluster } from "./demo_cluster.ts";

const CALLER_COUNT = 24;
const WARM_UP_MS = 4_000;
const AFTER_EDIT_MS = 2_000;
const AFTER_STOP_MS = 3_000;
const DEADLINE_MS = 3_000;
const MODELS = ["llama", "mistral", "qwen"];
const ADAPTERS = ["llama-fit", "llama-lens", "mistral-letters", "qwen-health"];

const cluster = new DemoCluster();

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function writeTable(origin: string): Promise<number> {
  const rows = [
    ...MODELS.map((name) => testing.makeRow(name)),
    ...ADAPTERS.map((name) =>
      testing.makeAdapter(name, name.split("-")[0] ?? "")
    ),
  ];
  return await submitEdit(origin, rows);
}

async function submitEdit(
  origin: string,
  rows: readonly ReturnType<typeof testing.makeRow>[],
): Promise<number> {
  const response = await fetch(`${origin}/v1/table/edits`, {
    method: "POST",
    headers: { authorization: `Bearer ${testing.OPERATOR_TOKENS.ana}` },
    body: JSON.stringify({
      editId: core.randomId<core.EditId>("ed"),
      changes: rows.map((row) => ({ name: row.name, row })),
    }),
  });
  if (!response.ok) throw new Error(await response.text());
  return (await response.json() as { revision: number }).revision;
}

async function fetchRevision(origin: string): Promise<number> {
  const response = await fetch(`${origin}/v1/status`, {
    headers: { authorization: `Bearer ${testing.OPERATOR_TOKENS.ana}` },
  });
  return (await response.json() as { tableRevision: number }).tableRevision;
}

async function waitUntilReady(): Promise<void> {
  await testing.waitUntil(
    "every entry instance lists all of them",
    async () => {
      const counts = await Promise.all(
        cluster.entries.map(async ({ ready }) => {
          const response = await fetch(`${ready.callerAddress}/v1/entries`, {
            headers: { authorization: `Bearer ${testing.CALLER_TOKENS.kiosk}` },
          });
          const body = await response.json() as { entries?: unknown[] };
          return body.entries?.length ?? 0;
        }),
      );
      return counts.every((count) => count === cluster.entries.length);
    },
  );
}

async function measureEditUnderLoad(
  origins: readonly string[],
): Promise<number> {
  const startedAtMs = core.monotonicMs();
  const row = testing.makeRow("llama", { priority: 7 });
  const revision = await submitEdit(origins[1] ?? "", [row]);
  await testing.waitUntil(
    "the edit is in force on every entry instance",
    async () => {
      const seen = await Promise.all(origins.map(fetchRevision));
      return seen.every((other) => other >= revision);
    },
  );
  return core.monotonicMs() - startedAtMs;
}

async function countRuns(): Promise<Record<string, number>> {
  const response = await fetch(`${cluster.originOf("orders-1")}/runs`);
  return await response.json() as Record<string, number>;
}

async function sumEngineCounts(): Promise<
  { moves: number; overcommits: number }
> {
  let moves = 0;
  let overcommits = 0;
  for (const [name, fake] of cluster.fakes) {
    if (!name.startsWith("engine-")) continue;
    const response = await fetch(`${fake.ready.origin}/counts`);
    const counts = await response.json() as Record<string, number>;
    moves += (counts.loads ?? 0) + (counts.unloads ?? 0);
    overcommits += counts.overcommits ?? 0;
  }
  return { moves, overcommits };
}

async function printReport(
  traffic: TrafficReport,
  exitCode: number | null,
): Promise<boolean> {
  const runs = await countRuns();
  const duplicateRunCount =
    Object.values(runs).filter((count) => count > 1).length;
  const neverRunCount = traffic.orderKeys
    .filter((key) => runs[`kiosk/${key}`] === undefined).length;
  const { moves, overcommits } = await sumEngineCounts();
  const attainment = traffic.metDeadline / Math.max(1, traffic.requests);
  printLine("");
  printLine(`requests     ${traffic.requests} (${traffic.retries} retries)`);
  printLine(
    `attainment   ${(attainment * 100).toFixed(1)} % in ${DEADLINE_MS} ms`,
  );
  printLine(`moves        ${moves} loads and unloads`);
  printLine(
    `lost         ${traffic.failed} calls, ${neverRunCount} orders never run`,
  );
  printLine(
    `doubled      ${duplicateRunCount} of ${traffic.orderKeys.length} orders`,
  );
  printLine(`mixed up     ${traffic.mismatched}`);
  printLine(`cut off      ${traffic.truncated}`);
  printLine(`overcommits  ${overcommits}`);
  printLine(`planned stop exit code ${exitCode}`);
  const violations = traffic.failed + neverRunCount + duplicateRunCount +
    traffic.mismatched + traffic.truncated + overcommits;
  return violations === 0 && exitCode === 0;
}

async function runDemo(): Promise<boolean> {
  printLine("starting 4 entries, 4 engines, 3 services and the platform …");
  await cluster.start();
  await waitUntilReady();
  const origins = cluster.entries.map(({ ready }) => ready.callerAddress);
  const revision = await writeTable(origins[0] ?? "");
  printLine(
    `table at revision ${revision}: ${MODELS.length} models, ` +
      `${ADAPTERS.length} adapters`,
  );
  const traffic = new TrafficGenerator(
    new CachedEntryList(origins),
    [...MODELS, ...ADAPTERS],
    DEADLINE_MS,
  );
  traffic.start(CALLER_COUNT);
  printLine(
    `${CALLER_COUNT} callers send completions, streams, orders and lookups …`,
  );
  await core.sleep(WARM_UP_MS);
  const propagationMs = await measureEditUnderLoad(origins);
  printLine(
    `an edit under load was in force everywhere in ${
      propagationMs.toFixed(0)
    } ms`,
  );
  await core.sleep(AFTER_EDIT_MS);
  const stoppingEntry = cluster.entries[2];
  printLine(`planned stop of ${stoppingEntry?.name} under load …`);
  stoppingEntry?.signal("SIGTERM");
  const exitCode = await stoppingEntry?.exited() ?? null;
  await core.sleep(AFTER_STOP_MS);
  await traffic.stop();
  return await printReport(traffic.report, exitCode);
}

async function keepRunning(): Promise<void> {
  await cluster.start();
  await waitUntilReady();
  const origins = cluster.entries.map(({ ready }) => ready.callerAddress);
  await writeTable(origins[0] ?? "");
  printLine(JSON.stringify({
    entries: origins,
    callerTokens: Object.values(testing.CALLER_TOKENS),
    models: MODELS,
    adapters: ADAPTERS,
    services: [
      {
        name: "orders",
        path: "/v1/services/orders/dispense",
        repeatable: false,
        runsUrl: `${cluster.originOf("orders-1")}/runs`,
      },
      {
        name: "stock",
        path: "/v1/services/stock/lookup",
        repeatable: true,
        runsUrl: `${cluster.originOf("stock-1")}/runs`,
      },
    ],
    operatorUrl: origins[0],
    operatorToken: testing.OPERATOR_TOKENS.ana,
    pids: cluster.pids,
  }));
  await new Promise(() => undefined);
}

async function exitWith(exitCode: number): Promise<void> {
  await cluster.stop();
  process.exit(exitCode);
}

process.on("SIGINT", () => void exitWith(130));
process.on("SIGTERM", () => void exitWith(143));

try {
  if (process.argv.includes("--keep")) await keepRunning();
  const isClean = await runDemo();
  await exitWith(isClean ? 0 : 1);
} catch (thrown) {
  printLine(`demo failed: ${core.messageOf(thrown)}`);
  await exitWith(1);
}
