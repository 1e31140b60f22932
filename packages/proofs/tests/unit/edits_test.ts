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
  const answer = await request(
    `${entry?.ready.callerAddress}/v1/table/edits`,
    {
      method: "POST",
      headers: { authorization: `Bearer ${testing.OPERATOR_TOKENS[operator]}` },
      body: JSON.stringify({ editId, changes }),
    },
  );
  const body = await answer.body.json() as Record<string, unknown>;
  return { status: answer.statusCode, body };
}

async function showRow(
  entry: testing.EntryProcess | undefined,
  name: string,
): Promise<table.RevisedRow | undefined> {
  const answer = await request(`${entry?.ready.callerAddress}/v1/table`, {
    headers: { authorization: `Bearer ${testing.OPERATOR_TOKENS.ana}` },
  });
  const body = await answer.body.json() as { rows: table.RevisedRow[] };
  return body.rows.find(({ row }) => row.name === name);
}

function running(world: testing.TestCluster): testing.EntryProcess[] {
  return world.entries.filter((entry) => !entry.hasExited);
}

async function inForce(
  world: testing.TestCluster,
  revision: number,
): Promise<number> {
  const startedAtMs = core.monotonicMs();
  await testing.waitUntil(`revision ${revision} is in force`, async () => {
    const statuses = await Promise.all(
      running(world).map((entry) => world.status(entry)),
    );
    return statuses.every((status) => status.tableRevision >= revision);
  });
  return Math.round(core.monotonicMs() - startedAtMs);
}

/** Watches every entry's revision; it must never step back. */
class RevisionWatch {
  readonly faults: string[] = [];
  readonly #seen = new Map<number, number>();
  #stopped = false;
  readonly #done: Promise<void>;

  constructor(world: testing.TestCluster) {
    this.#done = this.#run(world);
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#done;
  }

  async #run(world: testing.TestCluster): Promise<void> {
    while (!this.#stopped) {
      for (const entry of running(world)) {
        const status = await world.status(entry).catch(() => undefined);
        if (status) this.#note(entry.pid, status.tableRevision);
      }
      await core.sleep(10);
    }
  }

  #note(pid: number, revision: number): void {
    const before = this.#seen.get(pid) ?? 0;
    if (revision < before) this.faults.push(`${pid}: ${before} to ${revision}`);
    this.#seen.set(pid, revision);
  }
}

async function withWorld(
  t: ExecutionContext,
  options: testing.TestClusterOptions,
  body: (world: testing.TestCluster) => Promise<void>,
): Promise<void> {
  const world = new testing.TestCluster({ engines: 0, ...options });
  let watch: RevisionWatch | undefined;
  try {
    await world.start();
    watch = new RevisionWatch(world);
    await body(world);
    await watch.stop();
    t.deepEqual(watch.faults, []);
  } finally {
    await watch?.stop();
    await world.stop();
  }
}

const rows = [testing.makeRow("llama"), testing.makeRow("mistral")];

test("racing operators: other rows both win, the same row one", (t) =>
  withWorld(t, { entries: 3, rows }, async (world) => {
    const [first, second] = world.entries;
    const others = await Promise.all(
      Array.from({ length: 6 }, (_, n) =>
        sendEdit(world.entries[n % 3], {
          rows: [testing.makeRow(`other-${n}`)],
        })),
    );
    t.deepEqual(others.map(({ status }) => status), Array(6).fill(200));
    const shown = await showRow(first, "llama");
    const expectRowRevision = shown?.revision ?? -1;
    const ends = await Promise.all([
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
    const won = ends.findIndex(({ status }) => status === 200);
    const lost = ends.findIndex(({ status }) => status !== 200);
    t.true(won >= 0 && lost >= 0, JSON.stringify(ends));
    t.is(ends[lost]?.body.code, core.EDIT_CONFLICT.code);
    const winner = won === 0 ? "ana" : "ben";
    t.regex(String(ends[lost]?.body.detail), new RegExp(winner));
    await inForce(world, Number(ends[won]?.body.revision));
    for (const entry of world.entries) {
      t.is((await showRow(entry, "llama"))?.row.priority, won + 1);
    }
  }));

test("lost replies: an edit is applied once and never twice", (t) =>
  withWorld(t, { entries: 2, rows }, async (world) => {
    const [first, second] = world.entries;
    const { faults } = world.tableService;
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
    await inForce(world, Number(settled.body.revision));
  }));

test("lagging reads never revert an edit", (t) =>
  withWorld(t, { entries: 3, rows }, async (world) => {
    world.tableService.keepsHistory = true;
    world.tableService.faults.inject({ name: "lagRead", delayMs: 800 });
    for (let n = 0; n < 6; n++) {
      const answer = await sendEdit(world.entries[n % 3], {
        rows: [testing.makeRow("llama", { weight: n + 1 })],
      });
      t.is(answer.status, 200, JSON.stringify(answer.body));
      const tookMs = await inForce(world, Number(answer.body.revision));
      t.log(`in force after ${tookMs} ms`);
    }
    for (const entry of world.entries) {
      t.is((await showRow(entry, "llama"))?.row.weight, 6);
    }
  }));

test("a store outage after the accept, and restarts of every entry", (t) =>
  withWorld(t, { entries: 3, rows }, async (world) => {
    const accepted = await sendEdit(world.entries[0], {
      rows: [testing.makeRow("llama", { priority: 9 })],
    });
    world.tableService.faults.inject({ name: "outage" });
    const revision = Number(accepted.body.revision);
    t.log(`in force after ${await inForce(world, revision)} ms`);
    for (const [n, entry] of [...world.entries].entries()) {
      await world.killEntry(entry);
      world.instanceList.remove(entry.name);
      const fresh = await world.startEntry(`fresh-${n}`);
      t.log(`a new entry caught up in ${await inForce(world, revision)} ms`);
      t.is((await showRow(fresh, "llama"))?.row.priority, 9);
      await world.waitUntilReady();
    }
    const refused = await sendEdit(running(world)[0], {
      rows: [testing.makeRow("llama", { priority: 1 })],
    });
    t.is(refused.body.code, core.STORE_UNAVAILABLE.code);
    t.is(refused.body.ran, "no");
  }));

test("an entry cut off from all refuses rather than serve old rows", (t) =>
  withWorld(t, { entries: 2, engines: 1, rows }, async (world) => {
    const [lonely, other] = world.entries;
    if (!lonely || !other) throw new Error("No entries");
    const call = { model: "llama", prompt: "x" };
    await testing.complete(lonely.ready.callerAddress, call);
    world.setLinkMode(lonely, "blackhole");
    world.links.get(other.name)!.fromPeers.mode = "blackhole";
    const accepted = await sendEdit(other, {
      rows: [testing.makeRow("llama", { version: "2" })],
    });
    t.is(accepted.status, 200);
    await testing.waitUntil("the entry refuses", async () => {
      const answer = await testing.complete(lonely.ready.callerAddress, call);
      return answer.body.code === core.INSTANCE_ISOLATED.code;
    });
    world.setLinkMode(lonely, "pass");
    world.links.get(other.name)!.fromPeers.mode = "pass";
    await testing.waitUntil("the entry serves the new version", async () => {
      const answer = await testing.complete(lonely.ready.callerAddress, call);
      return testing.completionText(answer) === testing.expectedText(call, "2");
    });
  }));

test("an entry that was paused asks before it refuses", (t) =>
  withWorld(t, { entries: 2, engines: 1, rows }, async (world) => {
    const [paused] = world.entries;
    const origin = paused?.ready.callerAddress ?? "";
    const call = { model: "llama", prompt: "x" };
    await testing.complete(origin, call);
    for (let round = 0; round < 3; round++) {
      paused?.signal("SIGSTOP");
      await core.sleep(2_500);
      const answers = Array.from(
        { length: 8 },
        () => testing.complete(origin, call),
      );
      await core.sleep(50);
      paused?.signal("SIGCONT");
      for (const { status, body } of await Promise.all(answers)) {
        t.is(status, 200, JSON.stringify(body));
      }
    }
  }));
