import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import * as core from "../../../core/mod.ts";
import type * as table from "../../../table/mod.ts";
import * as testing from "../../../testing/mod.ts";

type Operator = keyof typeof testing.OPERATOR_TOKENS;

interface Edit {
  readonly operator?: Operator;
  readonly editId?: string;
  readonly rows: readonly table.TableRow[];
  readonly expectRowRevision?: number;
}

async function sendEdit(
  entry: testing.EntryProcess | undefined,
  edit: Edit,
): Promise<testing.CallerResponse> {
  const { operator = "ana", rows, expectRowRevision } = edit;
  const editId = edit.editId ?? core.randomId<core.EditId>("ed");
  const changes = rows.map((row) => ({
    name: row.name,
    row,
    expectRowRevision,
  }));
  const response = await request(
    `${entry?.ready.callerAddress}/v1/table/edits`,
    {
      method: "POST",
      headers: { authorization: `Bearer ${testing.OPERATOR_TOKENS[operator]}` },
      body: JSON.stringify({ editId, changes }),
    },
  );
  const body = await response.body.json() as Record<string, unknown>;
  return { status: response.statusCode, body };
}

async function fetchRow(
  entry: testing.EntryProcess | undefined,
  name: string,
): Promise<table.RevisedRow | undefined> {
  const response = await request(`${entry?.ready.callerAddress}/v1/table`, {
    headers: { authorization: `Bearer ${testing.OPERATOR_TOKENS.ana}` },
  });
  const body = await response.body.json() as { rows: table.RevisedRow[] };
  return body.rows.find(({ row }) => row.name === name);
}

function runningEntries(cluster: testing.TestCluster): testing.EntryProcess[] {
  return cluster.entries.filter((entry) => !entry.hasExited);
}

async function waitUntilInForce(
  cluster: testing.TestCluster,
  revision: number,
): Promise<number> {
  const startedAtMs = core.monotonicMs();
  await testing.waitUntil(`revision ${revision} is in force`, async () => {
    const statuses = await Promise.all(
      runningEntries(cluster).map((entry) => cluster.status(entry)),
    );
    return statuses.every((status) => status.tableRevision >= revision);
  });
  return Math.round(core.monotonicMs() - startedAtMs);
}

/** Polls the revision of every entry and records each decrease. */
class RevisionMonitor {
  readonly decreases: string[] = [];
  readonly #lastRevisions = new Map<number, number>();
  #stopped = false;
  readonly #done: Promise<void>;

  constructor(cluster: testing.TestCluster) {
    this.#done = this.#run(cluster);
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#done;
  }

  async #run(cluster: testing.TestCluster): Promise<void> {
    while (!this.#stopped) {
      for (const entry of runningEntries(cluster)) {
        const status = await cluster.status(entry).catch(() => undefined);
        if (status) this.#record(entry.pid, status.tableRevision);
      }
      await core.sleep(10);
    }
  }

  #record(pid: number, revision: number): void {
    const before = this.#lastRevisions.get(pid) ?? 0;
    if (revision < before) {
      this.decreases.push(`${pid}: ${before} to ${revision}`);
    }
    this.#lastRevisions.set(pid, revision);
  }
}

/** The store runs in this process, which a busy machine holds up. */
const SETTINGS: testing.SettingsOverrides = {
  platform: { timeoutMs: 10_000 },
  table: { editMaxMs: 60_000 },
};

async function withCluster(
  t: ExecutionContext,
  options: testing.TestClusterOptions,
  body: (cluster: testing.TestCluster) => Promise<void>,
): Promise<void> {
  const cluster = new testing.TestCluster({
    engines: 0,
    settings: SETTINGS,
    ...options,
  });
  let monitor: RevisionMonitor | undefined;
  try {
    await cluster.start();
    monitor = new RevisionMonitor(cluster);
    await body(cluster);
    await monitor.stop();
    t.deepEqual(monitor.decreases, []);
  } finally {
    await monitor?.stop();
    await cluster.stop();
  }
}

const rows = [testing.makeRow("llama"), testing.makeRow("mistral")];

// Guards against edits of different rows that refuse each other.
test("concurrent edits: different rows all succeed, the same row only one", (t) =>
  withCluster(t, { entries: 3, rows }, async (cluster) => {
    const [first, second] = cluster.entries;
    const writesBefore = cluster.tableService.writes;
    const others = await Promise.all(
      Array.from({ length: 6 }, (_, n) =>
        sendEdit(cluster.entries[n % 3], {
          rows: [testing.makeRow(`other-${n}`)],
        })),
    );
    t.deepEqual(
      others.map(({ status }) => status),
      Array(6).fill(200),
      JSON.stringify(others.map(({ body }) => body)),
    );
    // Each round of writes has a winner: 6 + 5 + 4 + 3 + 2 + 1.
    const writes = cluster.tableService.writes - writesBefore;
    t.true(writes <= 21, `${writes} writes`);
    const current = await fetchRow(first, "llama");
    const expectRowRevision = current?.revision ?? -1;
    const results = await Promise.all([
      sendEdit(first, {
        operator: "ana",
        rows: [testing.makeRow("llama", { priority: 1 })],
        expectRowRevision,
      }),
      sendEdit(second, {
        operator: "ben",
        rows: [testing.makeRow("llama", { priority: 2 })],
        expectRowRevision,
      }),
    ]);
    const winnerIndex = results.findIndex(({ status }) => status === 200);
    const loserIndex = results.findIndex(({ status }) => status !== 200);
    t.true(winnerIndex >= 0 && loserIndex >= 0, JSON.stringify(results));
    t.is(results[loserIndex]?.body.code, core.EDIT_CONFLICT.code);
    const winner = winnerIndex === 0 ? "ana" : "ben";
    t.regex(String(results[loserIndex]?.body.detail), new RegExp(winner));
    await waitUntilInForce(
      cluster,
      Number(results[winnerIndex]?.body.revision),
    );
    for (const entry of cluster.entries) {
      t.is((await fetchRow(entry, "llama"))?.row.priority, winnerIndex + 1);
    }
  }));

test("lost replies: an edit is applied exactly once", (t) =>
  withCluster(t, { entries: 2, rows }, async (cluster) => {
    const [first, second] = cluster.entries;
    const { faults } = cluster.tableService;
    faults.inject({ name: "loseReply", match: "transact", count: 2 });
    const edit = {
      editId: "ed-lost",
      rows: [testing.makeRow("llama", { priority: 9 })],
    };
    const accepted = await sendEdit(first, edit);
    t.is(accepted.status, 200, JSON.stringify(accepted.body));
    const again = await sendEdit(second, edit);
    t.is(again.body.revision, accepted.body.revision);
    faults.inject({ name: "loseReply", match: "transact", count: 5 });
    const unknown = await sendEdit(first, {
      editId: "ed-unknown",
      rows: [testing.makeRow("mistral", { priority: 8 })],
    });
    t.is(unknown.body.code, core.EDIT_OUTCOME_UNKNOWN.code);
    faults.clear();
    const settled = await sendEdit(second, {
      editId: "ed-unknown",
      rows: [testing.makeRow("mistral", { priority: 8 })],
    });
    t.is(settled.body.revision, Number(accepted.body.revision) + 1);
    const other = await sendEdit(second, {
      editId: "ed-unknown",
      rows: [testing.makeRow("mistral", { priority: 3 })],
    });
    t.is(other.body.code, core.EDIT_INVALID.code);
    await waitUntilInForce(cluster, Number(settled.body.revision));
  }));

test("lagging reads never revert an edit", (t) =>
  withCluster(t, { entries: 3, rows }, async (cluster) => {
    cluster.tableService.keepsHistory = true;
    cluster.tableService.faults.inject({ name: "lagRead", delayMs: 800 });
    for (let n = 0; n < 6; n++) {
      const response = await sendEdit(cluster.entries[n % 3], {
        rows: [testing.makeRow("llama", { weight: n + 1 })],
      });
      t.is(response.status, 200, JSON.stringify(response.body));
      const tookMs = await waitUntilInForce(
        cluster,
        Number(response.body.revision),
      );
      t.log(`in force after ${tookMs} ms`);
    }
    for (const entry of cluster.entries) {
      t.is((await fetchRow(entry, "llama"))?.row.weight, 6);
    }
  }));

test("an accepted edit survives a store outage and restarts of all entries", (t) =>
  withCluster(t, { entries: 3, rows }, async (cluster) => {
    const accepted = await sendEdit(cluster.entries[0], {
      rows: [testing.makeRow("llama", { priority: 9 })],
    });
    cluster.tableService.faults.inject({ name: "outage" });
    const revision = Number(accepted.body.revision);
    t.log(`in force after ${await waitUntilInForce(cluster, revision)} ms`);
    for (const [n, entry] of [...cluster.entries].entries()) {
      await cluster.killEntry(entry);
      cluster.instanceList.remove(entry.name);
      const restarted = await cluster.startEntry(`fresh-${n}`);
      t.log(
        `a new entry caught up in ${await waitUntilInForce(
          cluster,
          revision,
        )} ms`,
      );
      t.is((await fetchRow(restarted, "llama"))?.row.priority, 9);
      await cluster.waitUntilReady();
    }
    const refused = await sendEdit(runningEntries(cluster)[0], {
      rows: [testing.makeRow("llama", { priority: 1 })],
    });
    t.is(refused.body.code, core.STORE_UNAVAILABLE.code);
    t.is(refused.body.ran, "no");
  }));

test("an isolated entry rejects requests instead of serving old rows", (t) =>
  withCluster(t, { entries: 2, engines: 1, rows }, async (cluster) => {
    const [isolated, other] = cluster.entries;
    if (!isolated || !other) throw new Error("No entries");
    const call = { model: "llama", prompt: "x" };
    await testing.complete(isolated.ready.callerAddress, call);
    cluster.setLinkMode(isolated, "blackhole");
    cluster.links.get(other.name)!.fromPeers.mode = "blackhole";
    const accepted = await sendEdit(other, {
      rows: [testing.makeRow("llama", { version: "2" })],
    });
    t.is(accepted.status, 200);
    await testing.waitUntil("the entry rejects requests", async () => {
      const response = await testing.complete(
        isolated.ready.callerAddress,
        call,
      );
      return response.body.code === core.INSTANCE_ISOLATED.code;
    });
    cluster.setLinkMode(isolated, "pass");
    cluster.links.get(other.name)!.fromPeers.mode = "pass";
    await testing.waitUntil("the entry serves the new version", async () => {
      const response = await testing.complete(
        isolated.ready.callerAddress,
        call,
      );
      return testing.completionText(response) ===
        testing.expectedText(call, "2");
    });
  }));

test("an entry resumed after a pause checks its table before it rejects", (t) =>
  withCluster(t, { entries: 2, engines: 1, rows }, async (cluster) => {
    const [paused] = cluster.entries;
    const origin = paused?.ready.callerAddress ?? "";
    const call = { model: "llama", prompt: "x" };
    await testing.complete(origin, call);
    for (let round = 0; round < 3; round++) {
      paused?.signal("SIGSTOP");
      await core.sleep(2_500);
      const responses = Array.from(
        { length: 8 },
        () => testing.complete(origin, call),
      );
      await core.sleep(50);
      paused?.signal("SIGCONT");
      for (const { status, body } of await Promise.all(responses)) {
        t.is(status, 200, JSON.stringify(body));
      }
    }
  }));
