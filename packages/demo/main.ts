/** The demo: a whole system on loopback, traffic, an edit, a planned stop. */
import process from "node:process";
import * as core from "../core/mod.ts";
import * as testing from "../testing/mod.ts";
import {
  CachedEntryList,
  TrafficGenerator,
  type TrafficReport,
} from "./demo_traffic.ts";
import { DemoCluster } from "./demo_cluster.ts";

const CALLERS = 24;
const WARM_UP_MS = 4_000;
const AFTER_EDIT_MS = 2_000;
const AFTER_STOP_MS = 3_000;
const DEADLINE_MS = 3_000;
const MODELS = ["llama", "mistral", "qwen"];
const ADAPTERS = ["llama-fit", "llama-lens", "mistral-letters", "qwen-health"];

const world = new DemoCluster();

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function writeTable(origin: string): Promise<number> {
  const rows = [
    ...MODELS.map((name) => testing.makeRow(name)),
    ...ADAPTERS.map((name) =>
      testing.makeAdapter(name, name.split("-")[0] ?? "")
    ),
  ];
  return await edit(origin, rows);
}

async function edit(
  origin: string,
  rows: readonly ReturnType<typeof testing.makeRow>[],
): Promise<number> {
  const answer = await fetch(`${origin}/v1/table/edits`, {
    method: "POST",
    headers: { authorization: `Bearer ${testing.OPERATOR_TOKENS.ana}` },
    body: JSON.stringify({
      editId: core.randomId<core.EditId>("ed"),
      changes: rows.map((row) => ({ name: row.name, row })),
    }),
  });
  if (!answer.ok) throw new Error(await answer.text());
  return (await answer.json() as { revision: number }).revision;
}

async function revisionAt(origin: string): Promise<number> {
  const answer = await fetch(`${origin}/v1/status`, {
    headers: { authorization: `Bearer ${testing.OPERATOR_TOKENS.ana}` },
  });
  return (await answer.json() as { tableRevision: number }).tableRevision;
}

async function whenReady(): Promise<void> {
  await testing.until("every entry lists every other", async () => {
    const counts = await Promise.all(world.entries.map(async ({ ready }) => {
      const answer = await fetch(`${ready.callerAddress}/v1/entries`, {
        headers: { authorization: `Bearer ${testing.CALLER_TOKENS.kiosk}` },
      });
      const body = await answer.json() as { entries?: unknown[] };
      return body.entries?.length ?? 0;
    }));
    return counts.every((count) => count === world.entries.length);
  });
}

async function editUnderLoad(origins: readonly string[]): Promise<number> {
  const startedAtMs = core.monotonicMs();
  const row = testing.makeRow("llama", { priority: 7 });
  const revision = await edit(origins[1] ?? "", [row]);
  await testing.until("the edit is in force", async () => {
    const seen = await Promise.all(origins.map(revisionAt));
    return seen.every((other) => other >= revision);
  });
  return core.monotonicMs() - startedAtMs;
}

async function countRuns(): Promise<Record<string, number>> {
  const answer = await fetch(`${world.originOf("orders-1")}/runs`);
  return await answer.json() as Record<string, number>;
}

async function countMoves(): Promise<{ moves: number; overcommits: number }> {
  let moves = 0;
  let overcommits = 0;
  for (const [name, fake] of world.fakes) {
    if (!name.startsWith("engine-")) continue;
    const answer = await fetch(`${fake.ready.origin}/counts`);
    const counts = await answer.json() as Record<string, number>;
    moves += (counts.loads ?? 0) + (counts.unloads ?? 0);
    overcommits += counts.overcommits ?? 0;
  }
  return { moves, overcommits };
}

async function report(
  traffic: TrafficReport,
  exitCode: number | null,
): Promise<boolean> {
  const runs = await countRuns();
  const doubled = Object.values(runs).filter((count) => count > 1).length;
  const notRun = traffic.orderKeys
    .filter((key) => runs[`kiosk/${key}`] === undefined).length;
  const { moves, overcommits } = await countMoves();
  const attainment = traffic.metDeadline / Math.max(1, traffic.requests);
  say("");
  say(`requests     ${traffic.requests} (${traffic.retries} retries)`);
  say(`attainment   ${(attainment * 100).toFixed(1)} % in ${DEADLINE_MS} ms`);
  say(`moves        ${moves} loads and unloads`);
  say(`lost         ${traffic.failed} calls, ${notRun} orders never run`);
  say(`doubled      ${doubled} of ${traffic.orderKeys.length} orders`);
  say(`mixed up     ${traffic.mismatched}`);
  say(`cut off      ${traffic.truncated}`);
  say(`overcommits  ${overcommits}`);
  say(`planned stop exit code ${exitCode}`);
  const faults = traffic.failed + notRun + doubled + traffic.mismatched +
    traffic.truncated + overcommits;
  return faults === 0 && exitCode === 0;
}

async function demo(): Promise<boolean> {
  say("starting 4 entries, 4 engines, 3 services and the platform …");
  await world.start();
  await whenReady();
  const origins = world.entries.map(({ ready }) => ready.callerAddress);
  const revision = await writeTable(origins[0] ?? "");
  say(
    `table at revision ${revision}: ${MODELS.length} models, ` +
      `${ADAPTERS.length} adapters`,
  );
  const traffic = new TrafficGenerator(
    new CachedEntryList(origins),
    [...MODELS, ...ADAPTERS],
    DEADLINE_MS,
  );
  traffic.start(CALLERS);
  say(`${CALLERS} callers send completions, streams, orders and lookups …`);
  await core.sleep(WARM_UP_MS);
  const inForceMs = await editUnderLoad(origins);
  say(
    `an edit under load was in force everywhere in ${inForceMs.toFixed(0)} ms`,
  );
  await core.sleep(AFTER_EDIT_MS);
  const leaving = world.entries[2];
  say(`planned stop of ${leaving?.name} under load …`);
  leaving?.signal("SIGTERM");
  const exitCode = await leaving?.exited() ?? null;
  await core.sleep(AFTER_STOP_MS);
  await traffic.stop();
  return await report(traffic.report, exitCode);
}

async function keep(): Promise<void> {
  await world.start();
  await whenReady();
  const origins = world.entries.map(({ ready }) => ready.callerAddress);
  await writeTable(origins[0] ?? "");
  say(JSON.stringify({
    entries: origins,
    callerTokens: Object.values(testing.CALLER_TOKENS),
    models: MODELS,
    adapters: ADAPTERS,
    services: [
      {
        name: "orders",
        path: "/v1/services/orders/dispense",
        repeatable: false,
        runsUrl: `${world.originOf("orders-1")}/runs`,
      },
      {
        name: "stock",
        path: "/v1/services/stock/lookup",
        repeatable: true,
        runsUrl: `${world.originOf("stock-1")}/runs`,
      },
    ],
    operatorUrl: origins[0],
    operatorToken: testing.OPERATOR_TOKENS.ana,
    pids: world.pids,
  }));
  await new Promise(() => undefined);
}

async function endWith(exitCode: number): Promise<void> {
  await world.stop();
  process.exit(exitCode);
}

process.on("SIGINT", () => void endWith(130));
process.on("SIGTERM", () => void endWith(143));

try {
  if (process.argv.includes("--keep")) await keep();
  const isClean = await demo();
  await endWith(isClean ? 0 : 1);
} catch (thrown) {
  say(`demo failed: ${core.messageOf(thrown)}`);
  await endWith(1);
}
