/**
 * Sound upstreams that are silent for a while, beside edits of the table and
 * changes of the instance list: requests end whole or refused.
 */
import test from "ava";
import * as core from "../../../core/mod.ts";
import type * as table from "../../../table/mod.ts";
import * as testing from "../../../testing/mod.ts";

const SILENCE_MS = 1_200;
const llama = testing.makeRow("llama");

const cluster = new testing.TestCluster({
  entries: 2,
  engines: 2,
  engine: { slots: 32 },
  services: { orders: 1, stock: 1 },
});

test.before(() => cluster.start());
test.after.always(() => cluster.stop());

async function edit(changes: readonly object[]): Promise<void> {
  const editId = core.randomId<core.EditId>("ed");
  const origin = cluster.entries[1]?.ready.callerAddress ?? "";
  const response = await fetch(`${origin}/v1/table/edits`, {
    method: "POST",
    headers: { authorization: `Bearer ${testing.OPERATOR_TOKENS.ana}` },
    body: JSON.stringify({ editId, changes }),
  });
  const { revision } = await response.json() as { revision: number };
  await testing.waitUntil("the edit is in force", async () => {
    const statuses = await Promise.all(
      cluster.entries.map((entry) => cluster.status(entry)),
    );
    return statuses.every(({ tableRevision }) => tableRevision >= revision);
  });
}

function editRow(part: Partial<table.TableRow>): Promise<void> {
  const row = testing.makeRow("llama", part);
  return edit([{ name: row.name, row }]);
}

/** Changes that are made while upstreams are silent. */
const changes: Record<string, () => void | Promise<void>> = {
  "nothing changes": () => undefined,
  "another row is added": () => {
    const row = testing.makeRow("mistral");
    return edit([{ name: row.name, row }]);
  },
  "weight and priority change": () => editRow({ weight: 9, priority: 1 }),
  "a limit is set below the requests in progress": () =>
    editRow({ limits: { inProgressMax: 1 } }),
  "the row's deadline is shortened": () => editRow({ deadlineMs: 50 }),
  "the row's version changes": () => editRow({ version: "2" }),
  "the row is removed": () => edit([{ name: llama.name, row: null }]),
  "the engines leave, and start again": async () => {
    for (const engine of cluster.engines) engine.leave();
    await core.sleep(SILENCE_MS * 2);
    for (const engine of cluster.engines) {
      engine.leaving = false;
      engine.restart();
    }
  },
  "the entry is told to read its settings": () =>
    cluster.entries[0]?.signal("SIGHUP"),
  "the upstreams leave the list, and return": async () => {
    const { instances } = cluster.instanceList;
    const upstreams = [...instances.values()]
      .filter(({ kind }) => kind !== "entry");
    for (const { id } of upstreams) cluster.instanceList.remove(id);
    await core.sleep(SILENCE_MS * 2);
    for (const listed of upstreams) cluster.instanceList.put(listed);
  },
  // The last one, as it ends the entry.
  "the entry is told to stop": () => cluster.entries[0]?.signal("SIGTERM"),
};

interface Ending {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

/** `whole`, `refused`, or what else became of a request. */
function nameEnding(isWhole: boolean, { status, body }: Ending): string {
  if (isWhole) return "whole";
  return body.ran === "no" && status >= 400
    ? "refused"
    : `${status} ${JSON.stringify(body)}`;
}

const origin = () => cluster.entries[0]?.ready.callerAddress ?? "";

/** A stream that has begun before its engine falls silent. */
async function startStream(): Promise<{ ending: Promise<string> }> {
  const call = { model: "llama", prompt: "gaps", tokens: 2 };
  let hasStarted = false;
  const ending = testing.stream(origin(), call, () => hasStarted = true)
    .then((result) =>
      result.isComplete && result.text === testing.expectedText(call)
        ? "whole"
        : JSON.stringify(result)
    );
  await testing.waitUntil("the stream has started", () => hasStarted);
  return { ending };
}

/** Requests whose upstreams are silent before they respond. */
function sendOthers(): Promise<string>[] {
  const call = { model: "llama", prompt: "go on", tokens: 3 };
  const expected = testing.expectedText(call);
  const order = { service: "orders", path: "dispense", body: {} };
  const key = core.randomId("silent");
  return [
    testing.stream(origin(), call).then((result) =>
      nameEnding(result.isComplete && result.text === expected, {
        status: result.status,
        body: result.error ?? {},
      })
    ),
    testing.complete(origin(), call).then((response) =>
      nameEnding(testing.completionText(response) === expected, response)
    ),
    testing.callService(origin(), { ...order, key }).then((response) =>
      nameEnding(response.status === 200, response)
    ),
    testing.callService(origin(), { ...order, service: "stock" })
      .then((response) => nameEnding(response.status === 200, response)),
  ];
}

/** Lets upstreams be silent before they respond, or ends that. */
function setSilence(isSilent: boolean): void {
  for (const { faults } of cluster.engines) {
    if (!isSilent) faults.clear();
    else {
      faults.inject({
        name: "slow",
        match: "completions",
        delayMs: SILENCE_MS,
      });
    }
  }
  for (const [service] of cluster.services.values()) {
    if (!isSilent) service?.faults.clear();
    else service?.faults.inject({ name: "slowRun", delayMs: SILENCE_MS });
  }
}

function silentRequests(): number {
  const servers = [
    ...cluster.engines,
    ...[...cluster.services.values()].flat(),
  ];
  return servers.reduce(
    (sum, { faults: { consumedCounts } }) =>
      sum + (consumedCounts.get("slow") ?? 0) +
      (consumedCounts.get("slowRun") ?? 0),
    0,
  );
}

for (const [name, change] of Object.entries(changes)) {
  // Guards against answers that end early because their upstream is silent.
  test.serial(`requests to silent upstreams end whole or refused: ${name}`, async (t) => {
    await edit([{ name: llama.name, row: llama }]);
    await testing.waitUntil("the model is loaded", async () => {
      const call = { model: "llama", prompt: "warm" };
      return (await testing.complete(origin(), call)).status === 200;
    });
    for (const { faults } of cluster.engines) {
      faults.inject({ name: "slowTokens", match: "gaps", delayMs: SILENCE_MS });
    }
    const { ending } = await startStream();
    setSilence(true);
    const silentBefore = silentRequests();
    const endings = sendOthers();
    await testing.waitUntil(
      "all upstreams are silent",
      () => silentRequests() === silentBefore + endings.length,
    );
    await change();
    t.is(await ending, "whole");
    for (const ending of await Promise.all(endings)) {
      t.true(["whole", "refused"].includes(ending), ending);
    }
    setSilence(false);
  });
}
