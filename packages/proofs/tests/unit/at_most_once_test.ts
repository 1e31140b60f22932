import test from "ava";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";

type Action = "kill" | "freeze" | "reset" | "blackhole" | "dropReplies";

/**
 * A point of the request path, and the fault that delays or fails the request
 * there.
 */
interface FaultPoint {
  readonly name: string;
  readonly inject: (cluster: testing.TestCluster) => void;
  readonly isReached: (cluster: testing.TestCluster, key: string) => boolean;
}

const DELAY_MS = 1_200;
const OUTAGE_MS = 2_500;

const faultPoints: FaultPoint[] = [
  {
    name: "the claim write is in flight",
    inject: ({ tableService }) =>
      tableService.faults.inject({
        name: "slow",
        match: "transact",
        count: 1,
        delayMs: DELAY_MS,
      }),
    isReached: ({ tableService }) =>
      (tableService.faults.consumedCounts.get("slow") ?? 0) > 0,
  },
  {
    name: "the claim is stored and its reply in flight",
    inject: ({ tableService }) =>
      tableService.faults.inject({
        name: "slowReply",
        match: "transact",
        count: 1,
        delayMs: DELAY_MS,
      }),
    isReached: ({ tableService }, key) =>
      tableService.rows.has(`claims/kiosk/${key}`),
  },
  {
    name: "the reply to the claim write is lost",
    inject: ({ tableService }) =>
      tableService.faults.inject({
        name: "loseReply",
        match: "transact",
        count: 2,
      }),
    isReached: ({ tableService }, key) =>
      tableService.rows.has(`claims/kiosk/${key}`),
  },
  {
    name: "the service runs the call",
    inject: (cluster) => {
      for (const service of cluster.services.get("orders") ?? []) {
        service.faults.inject({ name: "slowRun", count: 1, delayMs: DELAY_MS });
      }
    },
    isReached: (cluster, key) => cluster.runCount("orders", `kiosk/${key}`) > 0,
  },
  {
    name: "the service's response is cut",
    inject: (cluster) => {
      for (const service of cluster.services.get("orders") ?? []) {
        service.faults.inject({ name: "cutAfterRun", count: 1 });
      }
    },
    isReached: (cluster, key) => cluster.runCount("orders", `kiosk/${key}`) > 0,
  },
  {
    name: "the outcome is not stored",
    inject: (cluster) => {
      for (const service of cluster.services.get("orders") ?? []) {
        service.faults.inject({ name: "slowRun", count: 1, delayMs: 100 });
      }
    },
    isReached: (cluster, key) => {
      if (cluster.runCount("orders", `kiosk/${key}`) === 0) return false;
      // Injected only now, so that it affects the write of the outcome and not
      // that of the claim.
      cluster.tableService.faults.inject({
        name: "blackhole",
        match: "transact",
        count: 1,
      });
      return true;
    },
  },
];

function clearFaults(cluster: testing.TestCluster): void {
  cluster.tableService.faults.clear();
  cluster.tableService.faults.consumedCounts.clear();
  for (const service of cluster.services.get("orders") ?? []) {
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

function resultCode({ status, body }: testing.CallerResponse): string {
  return String(body.code ?? status);
}

/** Retries until a response says finally whether the call ran, or for 6 s. */
async function retryUntilFinal(
  origin: string,
  key: string,
  responses: testing.CallerResponse[],
): Promise<void> {
  const deadline = new core.Deadline(6_000);
  while (!deadline.isOver()) {
    const response = await call(origin, key);
    responses.push(response);
    const isFinal = response.status === 200 ||
      (response.body.ran === "unknown" &&
        response.body.retryAfterMs === undefined);
    if (isFinal) return;
    await core.sleep(Number(response.body.retryAfterMs ?? 100));
  }
}

async function disrupt(
  cluster: testing.TestCluster,
  entry: testing.EntryProcess,
  action: Action,
): Promise<void> {
  if (action === "kill") {
    await cluster.killEntry(entry);
    return;
  }
  if (action === "freeze") {
    entry.signal("SIGSTOP");
    setTimeout(() => entry.signal("SIGCONT"), OUTAGE_MS);
    return;
  }
  cluster.setLinkMode(entry, action);
  setTimeout(() => cluster.setLinkMode(entry, "pass"), OUTAGE_MS);
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
    const cluster = new testing.TestCluster({
      entries: 2,
      engines: 0,
      services: { orders: 2 },
    });
    try {
      await cluster.start();
      const survivor = cluster.entries[1];
      for (const [index, faultPoint] of faultPoints.entries()) {
        const key = `${action}-${index}`;
        if (cluster.entries[0]?.hasExited) {
          cluster.entries.shift();
          const replacement = await cluster.startEntry(`entry-${index + 10}`);
          cluster.entries.pop();
          cluster.entries.unshift(replacement);
          await cluster.waitUntilReady();
        }
        const victim = cluster.entries[0];
        if (!victim || !survivor) throw new Error("No entries");
        clearFaults(cluster);
        faultPoint.inject(cluster);
        const responses: testing.CallerResponse[] = [];
        const first = call(victim.ready.callerAddress, key)
          .catch(() => undefined);
        await testing.waitUntil(
          faultPoint.name,
          () => faultPoint.isReached(cluster, key),
        );
        await disrupt(cluster, victim, action);
        await retryUntilFinal(survivor.ready.callerAddress, key, responses);
        const firstResponse = await first;
        if (action !== "kill") await core.sleep(OUTAGE_MS);
        const runs = cluster.runCount("orders", `kiosk/${key}`);
        const last = responses.at(-1);
        t.log(
          `${faultPoint.name}: ran ${runs}, responses ` +
            `${responses.map(resultCode).join(" ")}, first ` +
            (firstResponse ? resultCode(firstResponse) : "cut"),
        );
        t.true(runs <= 1, faultPoint.name);
        if (firstResponse) responses.push(firstResponse);
        const answered = responses.filter(({ status }) => status === 200);
        if (answered.length > 0) t.is(runs, 1, faultPoint.name);
        if (last?.body.ran === "no") t.is(runs, 0, faultPoint.name);
        for (const { body } of answered) {
          t.is(body.echo, JSON.stringify({ key }), faultPoint.name);
        }
      }
    } finally {
      await cluster.stop();
    }
  });
}

test("concurrent calls with one key run once, on any instance", async (t) => {
  const cluster = new testing.TestCluster({
    entries: 2,
    engines: 0,
    services: { orders: 2 },
  });
  try {
    await cluster.start();
    const origins = cluster.entries.map(({ ready }) => ready.callerAddress);
    for (let n = 0; n < 20; n++) {
      const key = `twin-${n}`;
      const responses = await Promise.all(
        [0, 1, 0, 1].map((entry) => call(origins[entry] ?? "", key)),
      );
      t.is(cluster.runCount("orders", `kiosk/${key}`), 1);
      for (const response of responses) {
        t.is(response.status, 200, JSON.stringify(response.body));
        t.is(response.body.echo, JSON.stringify({ key }));
      }
    }
    const kiosk = await call(origins[0] ?? "", "shared");
    const { dispatch } = testing.CALLER_TOKENS;
    const other = await call(origins[1] ?? "", "shared", dispatch);
    t.is(kiosk.body.caller, "kiosk");
    t.is(other.body.caller, "dispatch");
    t.is(cluster.runCount("orders", "dispatch/shared"), 1);
  } finally {
    await cluster.stop();
  }
});
