import test from "ava";
import { err, ok, type Result } from "neverthrow";
import * as core from "../../../core/mod.ts";
import * as store from "../../../store/mod.ts";
import * as orders from "../../mod.ts";

const KEY = "t/holder";
const LEASE_MS = 200;
const silentLogger = new core.Logger({}, () => {});

/** In-memory store that can cut nodes off or lose replies. */
class MemoryTable extends store.TableService {
  version = 0;
  row: store.StoredRow | undefined;
  readonly cutOff = new Set<string>();
  losesReplies = false;
  #generation = 0;

  override get generation(): number {
    return this.#generation;
  }

  /** Comes back from an older copy, in which the row had this state. */
  restore(copy: store.StoredRow | undefined): void {
    this.#generation++;
    this.row = copy;
    this.version = copy?.version ?? 0;
  }

  override read(): Promise<
    Result<readonly store.StoredRow[], store.StoreFailure>
  > {
    return Promise.resolve(ok(this.row ? [this.row] : []));
  }

  override transact(
    { checks, writes }: store.Transaction,
  ): Promise<Result<store.TransactOutcome, store.StoreFailure>> {
    const value = writes[0]!.value as { holder: string };
    if (this.cutOff.has(value.holder)) {
      return Promise.resolve(
        err({ effect: "none", reached: false, detail: "cut off" }),
      );
    }
    if (checks[0]!.version !== (this.row?.version ?? 0)) {
      return Promise.resolve(ok({ outcome: "conflict", rows: [this.row!] }));
    }
    this.row = { key: KEY, version: ++this.version, value };
    return Promise.resolve(
      this.losesReplies
        ? err({ effect: "unknown", reached: false, detail: "lost" })
        : ok({ outcome: "committed", version: this.version }),
    );
  }
}

function makeLease(
  table: MemoryTable,
  name: string,
  enginesCheckFences = false,
  followers = () => 0,
  options: Partial<orders.OrderLeaseOptions> = {},
): orders.OrderLease {
  return new orders.OrderLease(table, {
    key: KEY,
    self: core.brandId<core.InstanceId>(name),
    incarnation: `${name}-1`,
    leaseMs: LEASE_MS,
    enginesCheckFences,
    isEligible: () => true,
    rank: () => 0,
    followers,
    ...options,
  }, silentLogger);
}

async function waitUntil(condition: () => boolean, timeoutMs = 5_000) {
  const endsAtMs = core.monotonicMs() + timeoutMs;
  while (!condition() && core.monotonicMs() < endsAtMs) await core.sleep(5);
}

/** Runs leases while the body runs. */
async function withLeases(
  leases: readonly orders.OrderLease[],
  body: () => Promise<void>,
): Promise<void> {
  const stop = new AbortController();
  const running = leases.map((lease) => lease.run(stop.signal));
  try {
    await body();
  } finally {
    stop.abort();
    await Promise.all(running);
  }
}

test("one of two candidates acquires the lease, without a wait for orders", async (t) => {
  const table = new MemoryTable();
  const leases = [makeLease(table, "a"), makeLease(table, "b")];
  await withLeases(leases, async () => {
    await waitUntil(() => leases.some(({ isHeld }) => isHeld));
    await core.sleep(100);
    t.is(leases.filter(({ isHeld }) => isHeld).length, 1);
    const holder = leases.find(({ isHeld }) => isHeld)!;
    t.true(holder.ordersAllowedFromMs <= core.monotonicMs());
    t.is(holder.fencingToken, 1);
  });
});

// Guards against late orders to an earlier incarnation of an engine with the
// token of the orders to the present one.
test("a holder takes a higher fencing token with a renewal when it has to", async (t) => {
  const table = new MemoryTable();
  const lease = makeLease(table, "a", true);
  const upstream = core.brandId<core.UpstreamId>("u");
  await withLeases([lease], async () => {
    await waitUntil(() => lease.isHeld);
    await waitUntil(() => table.version >= 2);
    t.is(lease.fencingToken, 1);
    lease.raiseTokenAbove(1, upstream);
    table.losesReplies = true;
    await waitUntil(() => table.version >= 3);
    await core.sleep(20);
    // Another node may have taken over: the version is not known to be its own.
    t.is(lease.fencingToken, 1);
    table.losesReplies = false;
    await waitUntil(() => lease.fencingToken !== 1);
    t.is(lease.fencingToken, table.version);
    await waitUntil(() => table.version > lease.fencingToken!);
    await core.sleep(20);
    t.true(lease.fencingToken! < table.version);
  });
});

test("a holder that is cut off stops before another one starts", async (t) => {
  const table = new MemoryTable();
  const first = makeLease(table, "a");
  const second = makeLease(table, "b");
  await withLeases([first], async () => {
    await waitUntil(() => first.isHeld);
    await withLeases([second], async () => {
      const cutAtMs = core.monotonicMs();
      table.cutOff.add("a");
      let heldTogether = 0;
      await waitUntil(() => {
        if (first.isHeld && second.isHeld) heldTogether++;
        return second.isHeld;
      });
      t.is(heldTogether, 0);
      t.true(second.isHeld);
      t.true((second.fencingToken ?? 0) > 1);
      // Orders of two holders are leaseMs apart, whenever the first stopped.
      t.true(second.ordersAllowedFromMs >= cutAtMs + LEASE_MS);
    });
  });
});

test("where engines check fencing tokens, the next holder orders at once", async (t) => {
  const table = new MemoryTable();
  let followerCount = 2;
  const first = makeLease(table, "a", true, () => followerCount);
  const second = makeLease(table, "b", true);
  await withLeases([first], async () => {
    await waitUntil(() => first.isHeld);
    const firstToken = first.fencingToken ?? 0;
    await withLeases([second], async () => {
      table.cutOff.add("a");
      await waitUntil(() => second.isHeld);
      // The followers of the first holder follow the next one now.
      followerCount = 0;
      t.false(first.isHeld);
      t.true((second.fencingToken ?? 0) > firstToken);
      t.true(second.ordersAllowedFromMs <= core.monotonicMs());
    });
  });
});

test("without the store, the holder continues while it has followers", async (t) => {
  const table = new MemoryTable();
  let followerCount = 2;
  const checked = makeLease(table, "a", true, () => followerCount);
  const standby = makeLease(table, "b", true);
  await withLeases([checked], async () => {
    await waitUntil(() => checked.isHeld);
    await core.sleep(600);
    const { fencingToken } = checked;
    await withLeases([standby], async () => {
      table.cutOff.add("a").add("b");
      await core.sleep(2_200);
      t.true(checked.isHeld);
      t.is(checked.fencingToken, fencingToken);
      t.false(standby.isHeld);
      followerCount = 0;
      t.false(checked.isHeld);
    });
  });
  const unchecked = new MemoryTable();
  const strict = makeLease(unchecked, "a", false, () => 2);
  await withLeases([strict], async () => {
    await waitUntil(() => strict.isHeld);
    unchecked.cutOff.add("a");
    await core.sleep(2_200);
    t.false(strict.isHeld);
  });
});

test.serial("a holder that was held up sends nothing, though calls of followers wait", async (t) => {
  const table = new MemoryTable();
  // The followers' calls of the meantime are read first when it goes on.
  const lease = makeLease(table, "a", true, () => 3);
  await withLeases([lease], async () => {
    await waitUntil(() => lease.isHeld);
    await core.sleep(600);
    table.cutOff.add("a");
    const token = lease.fencingToken;
    await core.sleep(2_000);
    t.is(lease.fencingToken, token, "continues without the store");
    const heldUpUntilMs = core.monotonicMs() + 2_000;
    while (core.monotonicMs() < heldUpUntilMs);
    t.is(lease.fencingToken, undefined);
  });
});

test("a node that reaches the store takes over from a holder that does not", async (t) => {
  const table = new MemoryTable();
  const holder = makeLease(table, "a", true, () => 1);
  const standby = makeLease(table, "b", true);
  await withLeases([holder], async () => {
    await waitUntil(() => holder.isHeld);
    await withLeases([standby], async () => {
      table.cutOff.add("a");
      const self = core.brandId<core.InstanceId>("a");
      // The holder keeps announcing its old renewal.
      const announcing = setInterval(() => {
        const renewal = holder.lastRenewal;
        if (renewal?.holder === self) standby.noteRenewal(renewal);
      }, 20);
      await waitUntil(() => standby.isHeld);
      clearInterval(announcing);
      t.true(standby.isHeld);
      t.true((standby.fencingToken ?? 0) > (holder.fencingToken ?? 0));
    });
  });
});

test("a holder keeps the lease when replies of the store are lost", async (t) => {
  const table = new MemoryTable();
  const lease = makeLease(table, "a");
  await withLeases([lease], async () => {
    await waitUntil(() => lease.isHeld);
    const fencingToken = lease.fencingToken;
    table.losesReplies = true;
    await core.sleep(800);
    table.losesReplies = false;
    await core.sleep(700);
    t.true(lease.isHeld);
    t.is(lease.fencingToken, fencingToken);
  });
});

test("a released lease is acquired without waiting for its expiry", async (t) => {
  const table = new MemoryTable();
  const first = makeLease(table, "a");
  const second = makeLease(table, "b");
  await withLeases([first], async () => {
    await waitUntil(() => first.isHeld);
    await withLeases([second], async () => {
      const releasedAtMs = core.monotonicMs();
      await first.release();
      t.false(first.isHeld);
      await waitUntil(() => second.isHeld);
      t.true(core.monotonicMs() - releasedAtMs < 1_200);
      t.true(second.ordersAllowedFromMs >= releasedAtMs + LEASE_MS);
    });
  });
});

test("a stopping holder that cannot release continues until it can", async (t) => {
  const table = new MemoryTable();
  const first = makeLease(table, "a", true);
  const second = makeLease(table, "b", true);
  await withLeases([first], async () => {
    await waitUntil(() => first.isHeld);
    await withLeases([second], async () => {
      table.cutOff.add("a").add("b");
      await first.release();
      t.true(first.isHeld);
      await core.sleep(600);
      t.true(first.isHeld);
      table.cutOff.clear();
      await waitUntil(() => second.isHeld);
      t.false(first.isHeld);
      t.true(second.isHeld);
    });
  });
});

test("announced renewals replace reads of the store and set the expiry", async (t) => {
  const table = new MemoryTable();
  const standby = makeLease(table, "b");
  const holder = core.brandId<core.InstanceId>("a");
  table.row = {
    key: KEY,
    version: ++table.version,
    value: { holder, incarnation: "a-1", isFree: false },
  };
  await withLeases([standby], async () => {
    for (let count = 0; count < 10; count++) {
      standby.noteRenewal({ holder, generation: 0, version: 1, ageMs: 0 });
      await core.sleep(50);
    }
    t.is(standby.holder, holder);
    t.false(standby.isHeld);
    const lastNotedAtMs = core.monotonicMs();
    await waitUntil(() => standby.isHeld);
    const tookMs = core.monotonicMs() - lastNotedAtMs;
    t.true(tookMs >= 1_300 && tookMs < 2_500, `taken after ${tookMs} ms`);
  });
});

test("a restarted holder acquires its own lease at once", async (t) => {
  const table = new MemoryTable();
  const holder = core.brandId<core.InstanceId>("a");
  table.row = {
    key: KEY,
    version: ++table.version,
    value: { holder, incarnation: "a-0", isFree: false },
  };
  const startedAtMs = core.monotonicMs();
  const lease = makeLease(table, "a");
  await withLeases([lease], async () => {
    await waitUntil(() => lease.isHeld);
    t.true(core.monotonicMs() - startedAtMs < 600);
    t.true(lease.ordersAllowedFromMs <= core.monotonicMs());
  });
});

test.serial("a holder that was suspended sends nothing when it resumes", async (t) => {
  const table = new MemoryTable();
  const lease = makeLease(table, "a");
  const wallNow = Date.now;
  try {
    await withLeases([lease], async () => {
      await waitUntil(() => lease.isHeld);
      // The monotonic clock does not count the suspension, the wall clock does.
      Date.now = () => wallNow() + 5_000;
      t.is(lease.fencingToken, undefined);
      await waitUntil(() => lease.fencingToken !== undefined);
      t.is(table.row?.version, lease.lastRenewal?.version);
    });
  } finally {
    Date.now = wallNow;
  }
});

/** Counts the moments at which two leases may send orders at the same time. */
async function countOverlaps(
  leases: readonly orders.OrderLease[],
  untilMs: number,
): Promise<number> {
  const endsAtMs = core.monotonicMs() + untilMs;
  let overlaps = 0;
  while (core.monotonicMs() < endsAtMs) {
    const tokens = leases.filter(({ fencingToken }) => fencingToken);
    if (tokens.length > 1) overlaps++;
    await core.sleep(5);
  }
  return overlaps;
}

test("fencing tokens rise across restores of the store, also repeated ones", async (t) => {
  const table = new MemoryTable();
  const leases = [makeLease(table, "a", true), makeLease(table, "b", true)];
  await withLeases(leases, async () => {
    const tokens: number[] = [];
    for (let restores = 0; restores < 3; restores++) {
      await waitUntil(() => leases.some(({ isHeld }) => isHeld));
      await core.sleep(700);
      const holder = leases.find(({ isHeld }) => isHeld)!;
      tokens.push(holder.fencingToken!);
      // Versions are given out again from an empty table.
      table.restore(undefined);
      t.is(holder.fencingToken, undefined, "still held after a restore");
    }
    for (const [index, token] of tokens.entries()) {
      t.true(index === 0 || token > tokens[index - 1]!, tokens.join(" "));
    }
  });
});

test("a holder whose row a restore has lost does not go on beside the next one", async (t) => {
  const table = new MemoryTable();
  const first = makeLease(table, "a");
  const second = makeLease(table, "b");
  await withLeases([first, second], async () => {
    await waitUntil(() => first.isHeld || second.isHeld);
    const before = first.isHeld ? "a" : "b";
    const other = before === "a" ? "b" : "a";
    // The copy shows that the other node held the lease at that time.
    table.restore({
      key: KEY,
      version: 1,
      value: { holder: other, incarnation: `${other}-1`, isFree: false },
    });
    const restoredAtMs = core.monotonicMs();
    t.is(await countOverlaps([first, second], 1_200), 0);
    t.false(first.isHeld || second.isHeld, "taken while it may still be held");
    await waitUntil(() => first.isHeld || second.isHeld);
    const next = first.isHeld ? first : second;
    t.true(next.ordersAllowedFromMs >= restoredAtMs + 1_500 + LEASE_MS);
  });
});

test("a renewal that arrives after a restore does not renew the lease", async (t) => {
  const table = new MemoryTable();
  const lease = makeLease(table, "a");
  await withLeases([lease], async () => {
    await waitUntil(() => lease.isHeld);
    const fencingToken = lease.fencingToken!;
    // The row is restored at the very version that the holder expects.
    table.restore({ ...table.row! });
    t.is(lease.fencingToken, undefined);
    await waitUntil(() => lease.fencingToken !== undefined);
    t.true(lease.fencingToken! > fencingToken);
  });
});

test("a restarted node does not trust its own row in a restored copy", async (t) => {
  const table = new MemoryTable();
  table.restore({
    key: KEY,
    version: 7,
    value: { holder: "a", incarnation: "a-0", isFree: false, generation: 0 },
  });
  const lease = makeLease(table, "a");
  const startedAtMs = core.monotonicMs();
  await withLeases([lease], async () => {
    await waitUntil(() => lease.isHeld);
    t.true(core.monotonicMs() - startedAtMs >= 1_500);
  });
});

// Guards against a small machine that keeps the lease, and with it the exchanges
// of the whole fleet, as it was the first to start.
test("a holder that yields leaves the lease to the next node, within a second", async (t) => {
  const table = new MemoryTable();
  const small = makeLease(table, "small", true, () => 0, {
    rank: () => 1,
    yields: () => true,
  });
  const large = makeLease(table, "large", true);
  await withLeases([small], async () => {
    await waitUntil(() => small.isHeld);
    await withLeases([large], async () => {
      await waitUntil(() => large.isHeld);
      t.true(large.isHeld);
      t.false(small.isHeld);
      await core.sleep(700);
      t.is(small.holder, core.brandId<core.InstanceId>("large"));
    });
  });
});

test("a holder takes the lease again that nobody wanted, and then keeps it", async (t) => {
  const table = new MemoryTable();
  const small = makeLease(table, "small", true, () => 0, {
    yields: () => true,
  });
  await withLeases([small], async () => {
    await waitUntil(() => small.isHeld);
    await waitUntil(() => !small.isHeld);
    t.is(small.holder, undefined);
    await waitUntil(() => small.isHeld);
    await core.sleep(1_200);
    t.true(small.isHeld);
  });
});
