import test from "ava";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";

type Action = "kill" | "freeze" | "reset" | "blackhole" | "dropReplies";

/** A point of the path, and the fault that holds the request there. */
interface Point {
  readonly name: string;
  readonly hold: (world: testing.TestCluster) => void;
  readonly reached: (world: testing.TestCluster, key: string) => boolean;
}

const HOLD_MS = 1_200;
const FROZEN_MS = 2_500;

const points: Point[] = [
  {
    name: "the claim is on its way",
    hold: ({ tableService }) =>
      tableService.faults.inject({
        name: "slow",
        match: "transact",
        count: 1,
        delayMs: HOLD_MS,
      }),
    reached: ({ tableService }) =>
      (tableService.faults.consumedCounts.get("slow") ?? 0) > 0,
  },
  {
    name: "the claim is stored, its reply on its way",
    hold: ({ tableService }) =>
      tableService.faults.inject({
        name: "slowReply",
        match: "transact",
        count: 1,
        delayMs: HOLD_MS,
      }),
    reached: ({ tableService }, key) =>
      tableService.rows.has(`claims/kiosk/${key}`),
  },
  {
    name: "the claim's reply is lost",
    hold: ({ tableService }) =>
      tableService.faults.inject({
        name: "loseReply",
        match: "transact",
        count: 2,
      }),
    reached: ({ tableService }, key) =>
      tableService.rows.has(`claims/kiosk/${key}`),
  },
  {
    name: "the service runs the call",
    hold: (world) => {
      for (const service of world.services.get("orders") ?? []) {
        service.faults.inject({ name: "slowRun", count: 1, delayMs: HOLD_MS });
      }
    },
    reached: (world, key) => world.runCount("orders", `kiosk/${key}`) > 0,
  },
  {
    name: "the service's answer is cut",
    hold: (world) => {
      for (const service of world.services.get("orders") ?? []) {
        service.faults.inject({ name: "cutAfterRun", count: 1 });
      }
    },
    reached: (world, key) => world.runCount("orders", `kiosk/${key}`) > 0,
  },
  {
    name: "the outcome is not stored",
    hold: (world) => {
      for (const service of world.services.get("orders") ?? []) {
        service.faults.inject({ name: "slowRun", count: 1, delayMs: 100 });
      }
    },
    reached: (world, key) => {
      if (world.runCount("orders", `kiosk/${key}`) === 0) return false;
      world.tableService.faults.inject({
        name: "blackhole",
        match: "transact",
        count: 1,
      });
      return true;
    },
  },
];

function clearFaults(world: testing.TestCluster): void {
  world.tableService.faults.clear();
  world.tableService.faults.consumedCounts.clear();
  for (const service of world.services.get("orders") ?? []) {
    service.faults.clear();
  }
}

function call(
  origin: string,
  key: string,
  token?: string,
): Promise<testing.CallerResponse> {
  return testing.callService(origin, {
    service: "orders",
    path: "dispense",
    body: { key },
    key,
    deadlineMs: 2_000,
    ...(token === undefined ? {} : { token }),
  });
}

function codeOf({ status, body }: testing.CallerResponse): string {
  return String(body.code ?? status);
}

/** Retries until an answer says whether the call ran. */
async function retry(
  origin: string,
  key: string,
  answers: testing.CallerResponse[],
): Promise<void> {
  const deadline = new core.Deadline(6_000);
  while (!deadline.isOver()) {
    const answer = await call(origin, key);
    answers.push(answer);
    const isFinal = answer.status === 200 ||
      (answer.body.ran === "unknown" && answer.body.retryAfterMs === undefined);
    if (isFinal) return;
    await core.sleep(Number(answer.body.retryAfterMs ?? 100));
  }
}

async function strike(
  world: testing.TestCluster,
  entry: testing.EntryProcess,
  action: Action,
): Promise<void> {
  if (action === "kill") {
    await world.killEntry(entry);
    return;
  }
  if (action === "freeze") {
    entry.signal("SIGSTOP");
    setTimeout(() => entry.signal("SIGCONT"), FROZEN_MS);
    return;
  }
  world.setLinkMode(entry, action);
  setTimeout(() => world.setLinkMode(entry, "pass"), FROZEN_MS);
}

const actions: Action[] = [
  "kill",
  "freeze",
  "reset",
  "blackhole",
  "dropReplies",
];

for (const action of actions) {
  test(`${action}: a retried key runs at most once`, async (t) => {
    const world = new testing.TestCluster({
      entries: 2,
      engines: 0,
      services: { orders: 2 },
    });
    try {
      await world.start();
      const survivor = world.entries[1];
      for (const [index, point] of points.entries()) {
        const key = `${action}-${index}`;
        if (world.entries[0]?.hasExited) {
          world.entries.shift();
          const again = await world.startEntry(`entry-${index + 10}`);
          world.entries.pop();
          world.entries.unshift(again);
          await world.waitUntilReady();
        }
        const victim = world.entries[0];
        if (!victim || !survivor) throw new Error("No entries");
        clearFaults(world);
        point.hold(world);
        const answers: testing.CallerResponse[] = [];
        const first = call(victim.ready.callerAddress, key)
          .catch(() => undefined);
        await testing.waitUntil(point.name, () => point.reached(world, key));
        await strike(world, victim, action);
        await retry(survivor.ready.callerAddress, key, answers);
        const firstAnswer = await first;
        if (action !== "kill") await core.sleep(FROZEN_MS);
        const runs = world.runCount("orders", `kiosk/${key}`);
        const last = answers.at(-1);
        t.log(
          `${point.name}: ran ${runs}, answers ` +
            `${answers.map(codeOf).join(" ")}, first ` +
            (firstAnswer ? codeOf(firstAnswer) : "cut"),
        );
        t.true(runs <= 1, point.name);
        if (firstAnswer) answers.push(firstAnswer);
        const answered = answers.filter(({ status }) => status === 200);
        if (answered.length > 0) t.is(runs, 1, point.name);
        if (last?.body.ran === "no") t.is(runs, 0, point.name);
        for (const { body } of answered) {
          t.is(body.echo, JSON.stringify({ key }), point.name);
        }
      }
    } finally {
      await world.stop();
    }
  });
}

test("identical keys at once run once, on any instance", async (t) => {
  const world = new testing.TestCluster({
    entries: 2,
    engines: 0,
    services: { orders: 2 },
  });
  try {
    await world.start();
    const origins = world.entries.map(({ ready }) => ready.callerAddress);
    for (let n = 0; n < 20; n++) {
      const key = `twin-${n}`;
      const answers = await Promise.all(
        [0, 1, 0, 1].map((entry) => call(origins[entry] ?? "", key)),
      );
      t.is(world.runCount("orders", `kiosk/${key}`), 1);
      for (const answer of answers) {
        t.is(answer.status, 200, JSON.stringify(answer.body));
        t.is(answer.body.echo, JSON.stringify({ key }));
      }
    }
    const kiosk = await call(origins[0] ?? "", "shared");
    const { dispatch } = testing.CALLER_TOKENS;
    const other = await call(origins[1] ?? "", "shared", dispatch);
    t.is(kiosk.body.caller, "kiosk");
    t.is(other.body.caller, "dispatch");
    t.is(world.runCount("orders", "dispatch/shared"), 1);
  } finally {
    await world.stop();
  }
});
