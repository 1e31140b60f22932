/** Requests for calls that may not be repeated, ended before their deadlines. */
import test from "ava";
import { err, ok } from "neverthrow";
import * as core from "../../../core/mod.ts";
import type * as store from "../../../store/mod.ts";
import * as testing from "../../../testing/mod.ts";
import * as claims from "../../mod.ts";

const WRITE_MS = 20;
const DEADLINE_MS = 2_000;
const OUTCOME = { status: 200, contentType: "text/plain", bodyText: "ok" };
const OUTAGE: store.StoreFailure = {
  effect: "none",
  reached: false,
  detail: "outage",
};

/** Rows that are checked and written after a time. */
class SlowRows implements claims.ClaimTransactor {
  readonly rows = new Map<string, store.StoredRow>();
  /** Called when a write has begun. */
  onWrite: () => void = () => {};
  #version = 0;

  async transact({ checks, writes }: store.Transaction) {
    this.onWrite();
    await core.sleep(WRITE_MS);
    const failed = checks.filter(({ key, version }) =>
      (this.rows.get(key)?.version ?? 0) !== version
    );
    if (failed.length > 0) {
      const rows = failed.flatMap(({ key }) => this.rows.get(key) ?? []);
      return ok<store.TransactOutcome>({ outcome: "conflict", rows });
    }
    const version = ++this.#version;
    for (const { key, value } of writes) {
      this.rows.set(key, { key, version, value });
    }
    return ok<store.TransactOutcome>({ outcome: "committed", version });
  }
}

const objects: claims.ClaimObjects = {
  put: () => Promise.resolve(err(OUTAGE)),
  get: () => Promise.resolve(err(OUTAGE)),
};

class NoPeers extends claims.ClaimPeers {
  override queryFate(): Promise<claims.ClaimFate> {
    return Promise.resolve({ kind: "abandoned" });
  }
}

function makeRunner(rows: SlowRows, name: string): claims.ClaimRunner {
  return new claims.ClaimRunner({
    instanceId: core.brandId(name),
    incarnation: core.brandId(`in-${name}`),
    store: new claims.ClaimStore(rows, objects),
    peers: new NoPeers(),
    unsettledMax: 100,
    settleWaitMs: WRITE_MS,
  });
}

function makeRequest(signal?: AbortSignal): claims.ClaimRequest {
  return {
    callerId: core.brandId("kiosk"),
    key: core.brandId("order-1"),
    bodyHash: "body",
    deadline: new core.Deadline(DEADLINE_MS),
    ...(signal === undefined ? {} : { signal }),
  };
}

const notRun: claims.DispatchResult = {
  kind: "notRun",
  failure: core.refuse(core.NO_UPSTREAM, "nobody"),
};

/** Leaves a key whose first request was not run. */
async function leaveReleased(rows: SlowRows): Promise<void> {
  const runner = makeRunner(rows, "entry-1");
  await runner.run(makeRequest(), () => Promise.resolve(notRun));
  await testing.waitUntil(
    "the first claim is released",
    () => runner.registry.size === 0,
  );
}

// Guards against a call that a planned stop refuses as not run, and that runs
// later, as its key was found to be free for another claim.
test("a call that is refused before its deadline is never dispatched", async (t) => {
  const rows = new SlowRows();
  await leaveReleased(rows);
  const runner = makeRunner(rows, "entry-0");
  const stop = new AbortController();
  rows.onWrite = () => stop.abort();
  let runs = 0;
  const result = await runner.run(makeRequest(stop.signal), () => {
    runs++;
    return Promise.resolve({ kind: "answered", outcome: OUTCOME });
  });
  t.is(result._unsafeUnwrapErr().ran, "no");
  await core.sleep(10 * WRITE_MS);
  t.is(runs, 0);
  t.is(runner.registry.size, 0);
});

// Guards against a call that starts after its caller was answered, as the first
// request with its key was not run.
test("a call that ends while another has its key is never dispatched", async (t) => {
  const runner = makeRunner(new SlowRows(), "entry-0");
  let endFirst!: (result: claims.DispatchResult) => void;
  const first = runner.run(
    makeRequest(),
    () => new Promise((resolve) => endFirst = resolve),
  );
  await testing.waitUntil("the first is dispatched", () => !!endFirst);
  const stop = new AbortController();
  let runs = 0;
  const second = runner.run(makeRequest(stop.signal), () => {
    runs++;
    return Promise.resolve({ kind: "answered", outcome: OUTCOME });
  });
  await core.sleep(1);
  stop.abort();
  t.is((await second)._unsafeUnwrapErr().result, core.CLAIM_IN_FLIGHT);
  endFirst(notRun);
  await first;
  await core.sleep(10 * WRITE_MS);
  t.is(runs, 0);
});
