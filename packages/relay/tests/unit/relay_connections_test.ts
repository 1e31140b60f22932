import test from "ava";
import * as core from "../../../core/mod.ts";
import * as transport from "../../../transport/mod.ts";
import * as relay from "../../mod.ts";
import { type Arrival, RawEngine, success } from "../raw_engines.ts";

type Answer = (arrival: Arrival, engine: RawEngine) => void;

const answerAtOnce: Answer = ({ id, socket }) => socket.write(success(id));

async function withConnections(
  answer: Answer,
  connectionsMax: number,
  run: (
    connections: relay.UpstreamConnections,
    engine: RawEngine,
    closed: readonly string[],
  ) => Promise<void>,
): Promise<void> {
  const engine = await RawEngine.start("e", answer);
  const closed: string[] = [];
  const connections = new relay.UpstreamConnections(
    `http://${engine.record.address}`,
    {
      connect: transport.connector(600),
      connectionsMax,
      onClose: (reason) => closed.push(reason),
    },
  );
  try {
    await run(connections, engine, closed);
  } finally {
    await connections.destroy();
    engine.stop();
  }
}

/** Sends a request; resolves to its status, or to why there is none. */
async function send(
  connections: relay.UpstreamConnections,
  id: string,
  request = new relay.RequestConnections(id),
  path = "/",
): Promise<number | string> {
  const attempt = relay.startAttempt(connections, {
    path,
    method: "GET",
    headers: { "x-id": id },
    body: null,
    connections: request,
  });
  const head = await attempt.head;
  if (head.isErr()) return head.error.sent;
  for (;;) {
    const event = await attempt.next();
    if (event.kind !== "data") return head.value.status;
  }
}

test("requests one after the other share a connection", async (t) => {
  await withConnections(answerAtOnce, 4, async (connections, engine) => {
    for (let n = 0; n < 20; n++) t.is(await send(connections, `r${n}`), 200);
    t.is(engine.connections, 1);
  });
});

test("requests beyond the limit wait, and are sent in the order they came", async (t) => {
  const arrived: string[] = [];
  const answer: Answer = (arrival, engine) => {
    arrived.push(arrival.id);
    t.true(engine.open.size <= 2);
    setTimeout(() => answerAtOnce(arrival, engine), 5);
  };
  await withConnections(answer, 2, async (connections, engine) => {
    const ids = Array.from({ length: 12 }, (_, n) => `r${n}`);
    const sent = await Promise.all(ids.map((id) => send(connections, id)));
    t.deepEqual(sent, ids.map(() => 200));
    t.deepEqual(arrived.slice(2), ids.slice(2));
    t.is(engine.connections, 2);
  });
});

for (const how of ["sent again by this node", "its caller comes back"]) {
  // Guards against a request that is sent twice on one connection, where a copy
  // of its first answer may still come.
  test(`a request is sent on each connection once, also at the limit: ${how}`, async (t) => {
    const answer: Answer = (arrival, engine) => {
      t.false(arrival.before.includes(arrival.id));
      answerAtOnce(arrival, engine);
    };
    await withConnections(answer, 2, async (connections, engine, closed) => {
      const first = new relay.RequestConnections("r");
      const next = () =>
        how === "its caller comes back"
          ? new relay.RequestConnections("r")
          : first;
      for (let n = 0; n < 5; n++) {
        t.is(await send(connections, "r", next()), 200);
      }
      t.is(engine.connections, 5);
      t.deepEqual(closed, Array(3).fill("requestSentBefore"));
      t.is(await send(connections, "other"), 200);
      t.is(engine.connections, 5, "other requests use open connections");
    });
  });
}

// Guards against a connection whose memory of ids grows without a bound.
test("a connection is closed after its most requests, between two of them", async (t) => {
  await withConnections(
    answerAtOnce,
    1,
    async (connections, engine, closed) => {
      for (let n = 0; n < 600; n++) t.is(await send(connections, `r${n}`), 200);
      t.is(engine.connections, 3);
      t.deepEqual(closed, ["requestLimit", "requestLimit"]);
    },
  );
});

test("a request that waits at the limit gets a connection of its own in turn", async (t) => {
  const answer: Answer = (arrival, engine) => {
    t.false(arrival.before.includes(arrival.id));
    setTimeout(() => answerAtOnce(arrival, engine), 10);
  };
  await withConnections(answer, 1, async (connections) => {
    t.is(await send(connections, "r"), 200);
    const other = send(connections, "other");
    t.is(await send(connections, "r"), 200);
    t.is(await other, 200);
  });
});

// Guards against a connection that counts as busy for good after a request that
// the HTTP client rejects.
test("a request that cannot be sent takes no connection away", async (t) => {
  await withConnections(answerAtOnce, 1, async (connections) => {
    for (let n = 0; n < 3; n++) {
      t.is(await send(connections, "r", undefined, "no path"), "no");
    }
    t.is(await send(connections, "r"), 200);
  });
});

// Guards against a new connection, which may hold a slot, for each request that
// is cancelled.
test("a request that is cancelled opens no connection", async (t) => {
  let arrivals = 0;
  const countArrival = () => void arrivals++;
  await withConnections(countArrival, 4, async (connections, engine) => {
    for (let n = 1; n <= 5; n++) {
      const attempt = relay.startAttempt(connections, {
        path: "/",
        method: "GET",
        headers: { "x-id": `r${n}` },
        body: null,
      });
      while (arrivals < n) await core.sleep(5);
      attempt.cancel("test");
      while (engine.open.size > 0) await core.sleep(5);
      await core.sleep(30);
      t.is(engine.connections, n);
    }
  });
});

test("a connection that the upstream closes is replaced", async (t) => {
  const answer: Answer = ({ id, socket }) => socket.end(success(id));
  await withConnections(answer, 1, async (connections, engine) => {
    for (let n = 0; n < 3; n++) {
      t.is(await send(connections, `r${n}`), 200);
      await core.sleep(10);
    }
    t.is(engine.connections, 3);
  });
});

test("close lets the requests that were given end", async (t) => {
  const answer: Answer = (arrival, engine) =>
    setTimeout(() => answerAtOnce(arrival, engine), 10);
  await withConnections(answer, 1, async (connections, engine) => {
    const sent = ["r0", "r1", "r2"].map((id) => send(connections, id));
    await connections.close();
    t.is(await send(connections, "late"), "no");
    t.deepEqual(await Promise.all(sent), [200, 200, 200]);
    await core.sleep(30);
    t.is(engine.open.size, 0);
  });
});

test("destroy fails all requests, those that wait as not sent", async (t) => {
  await withConnections(() => {}, 1, async (connections, engine) => {
    const sent = ["r0", "r1"].map((id) => send(connections, id));
    await core.sleep(50);
    await connections.destroy();
    t.deepEqual(await Promise.all(sent), ["maybe", "no"]);
    await core.sleep(20);
    t.is(engine.open.size, 0);
  });
});

// Guards against connections that are used up by requests that nobody waits for.
test("a request that was cancelled while it waited takes no connection", async (t) => {
  let answer: (() => void) | undefined;
  const hold: Answer = ({ id, socket }) => {
    answer = () => socket.write(success(id));
  };
  await withConnections(hold, 1, async (connections, engine) => {
    const first = send(connections, "r1");
    const start = (id: string, mayStart = true) =>
      relay.startAttempt(relay.guardStart(connections, () => mayStart), {
        path: "/",
        method: "GET",
        headers: { "x-id": id },
        body: null,
      });
    const left = start("r2");
    const withdrawn = start("r3", false);
    while (!answer) await core.sleep(5);
    left.cancel("caller left");
    answer();
    t.is(await first, 200);
    t.is((await left.head)._unsafeUnwrapErr().sent, "no");
    t.is((await withdrawn.head)._unsafeUnwrapErr().sent, "no");
    answer = undefined;
    const last = send(connections, "r4");
    while (!answer) await core.sleep(5);
    (answer as () => void)();
    t.is(await last, 200);
    t.is(engine.connections, 1);
  });
});
