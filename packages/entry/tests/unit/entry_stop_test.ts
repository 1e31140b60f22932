/** Requests that arrive, or are still being read, while a node stops. */
import test from "ava";
import type {
  IncomingHttpHeaders,
  IncomingMessage,
  ServerResponse,
} from "node:http";
import * as core from "../../../core/mod.ts";
import type * as fleet from "../../../fleet/mod.ts";
import { finishRequests } from "../../entry_stop.ts";
import {
  HarnessDialect,
  type ListenerHarness,
  respondAfter,
  withListener,
} from "../listener_harness.ts";

function get(id: string): string {
  return `GET /a/ HTTP/1.1\r\nHost: h\r\nX-Id: ${id}\r\n\r\n`;
}

function postHead(id: string, bytes: number): string {
  return `POST /a/ HTTP/1.1\r\nHost: h\r\nX-Id: ${id}\r\n` +
    `Content-Length: ${bytes}\r\n\r\n`;
}

/** Registers another node that accepts callers. */
function addOtherNode({ state }: ListenerHarness): void {
  const node = core.brandId<core.InstanceId>("n2");
  state.members.setRow(node, {
    callerAddress: "127.0.0.1:1",
    peerAddress: "127.0.0.1:1",
    failureDomain: "d",
    incarnation: "in-2",
    isLeaving: false,
  });
}

// Guards against a connection that is closed after the response to its first
// request, while a later one of it is still running at an upstream.
test.serial("a stop cuts off no request that follows another one on its connection", async (t) => {
  await withListener(respondAfter(200), async (harness) => {
    const caller = harness.connect();
    caller.socket.write(get("1") + get("2"));
    await harness.reached(2);
    harness.listener.disableKeepAlive();
    await caller.closed;
    t.deepEqual(caller.statuses, [200, 200]);
    t.deepEqual(harness.received, ["1", "2"]);
  });
});

// Guards against a request that is not answered, as the response to the one
// before it has announced the close of a connection that is still in use.
test.serial("a stop answers all requests that follow one that still runs", async (t) => {
  await withListener(respondAfter(300), async (harness) => {
    const caller = harness.connect();
    caller.socket.write(get("1"));
    await harness.reached(1);
    const nowMs = core.monotonicMs();
    harness.listener.disableKeepAlive();
    addOtherNode(harness);
    harness.listener.rejectNew(nowMs, nowMs + 5_000);
    for (const id of ["2", "3"]) {
      caller.socket.write(get(id));
      await core.sleep(50);
    }
    await caller.answered(3);
    t.deepEqual(caller.statuses, [200, 503, 503]);
    caller.socket.write(get("4"));
    await caller.closed;
    t.deepEqual(caller.statuses, [200, 503, 503, 503]);
    t.deepEqual(harness.received, ["1"]);
  });
});

// Guards against a request that is passed on although the response before it
// closes the connection.
test.serial("what arrives after a response that closes its connection is not passed on", async (t) => {
  const events = (_: IncomingMessage, response: ServerResponse) => {
    response.writeHead(200, { "x-id": "1" });
    response.write("data: x\n\n");
    setTimeout(() => response.end(), 300);
  };
  await withListener(events, async (harness) => {
    harness.listener.disableKeepAlive();
    const caller = harness.connect();
    caller.socket.write(get("1"));
    await caller.answered(1);
    caller.socket.write(get("2"));
    await caller.closed;
    t.deepEqual(caller.statuses, [200]);
    t.deepEqual(harness.received, ["1"]);
    t.is(harness.state.requestsInFlight, 0);
  }, { kind: "stream" });
});

// Guards against a request whose head came before the node began to reject, and
// whose body came so late that an upstream cannot finish it in the stop.
test.serial("a body that ends after the node has begun to reject is not passed on", async (t) => {
  await withListener(respondAfter(0), async (harness) => {
    addOtherNode(harness);
    const caller = harness.connect();
    caller.socket.write(postHead("1", 4));
    await core.sleep(50);
    const nowMs = core.monotonicMs();
    harness.listener.rejectNew(nowMs, nowMs + 5_000);
    caller.socket.write("body");
    await caller.answered(1);
    t.deepEqual(caller.statuses, [503]);
    t.deepEqual(harness.received, []);
    caller.socket.destroy();
  });
});

class TakeUpDialect extends HarnessDialect {
  override readRequest(headers: IncomingHttpHeaders) {
    return super.readRequest(headers).map((caller): fleet.CallerRequest => ({
      ...caller,
      takenUpStream: {
        lastEventId: "3",
        firstRequestId: core.brandId<core.RequestId>("0"),
      },
    }));
  }
}

// Guards against a stop that does not end the lookup of a stream's origin, so
// that the process exits without an answer to its caller.
test.serial("a stop ends the lookups of streams that are taken up", async (t) => {
  await withListener(respondAfter(0), async (harness) => {
    const caller = harness.connect();
    caller.socket.write(get("1"));
    await core.sleep(50);
    t.is(harness.state.requestsInFlight, 1);
    const endedAtMs = core.monotonicMs();
    harness.listener.endAll();
    await caller.answered(1);
    t.true(core.monotonicMs() - endedAtMs < 150);
    t.deepEqual(caller.statuses, [503]);
    t.regex(caller.text, /retry-after/i);
    t.deepEqual(harness.received, []);
    caller.socket.destroy();
  }, { kind: "stream", dialect: new TakeUpDialect() });
});

// Guards against a short grace period in which requests are accepted until its
// end, so that what an upstream does for them is broken off.
test.serial("in a short grace period, what was accepted has time to end", async (t) => {
  await withListener(respondAfter(600), async (harness) => {
    addOtherNode(harness);
    harness.state.settings = { ...harness.state.settings, graceMs: 2_000 };
    let isStopped = false;
    const stopping = finishRequests(harness.state, harness.listener, {
      lingerMs: 2_700,
      isHandedOver: () => true,
    }).then(() => isStopped = true);
    const callers = [];
    while (!isStopped) {
      const caller = harness.connect();
      caller.socket.write(get(String(callers.length)));
      callers.push(caller);
      await core.sleep(100);
    }
    await stopping;
    const statuses = callers.flatMap((caller) => caller.statuses);
    t.true(statuses.filter((status) => status === 200).length > 5);
    t.deepEqual(statuses.filter((status) => status === 504), []);
    for (const { socket } of callers) socket.destroy();
  });
});

// Guards against streams that a short grace period cuts off before the last
// sixth of it.
test.serial("a stop ends no stream before the last sixth of the grace period", async (t) => {
  await withListener((request, response) => {
    response.writeHead(200, { "x-id": request.headers["x-id"] });
    const timer = setInterval(() => response.write("data: x\n\n"), 50);
    response.on("close", () => clearInterval(timer));
  }, async (harness) => {
    harness.state.settings = { ...harness.state.settings, graceMs: 1_200 };
    const caller = harness.connect();
    caller.socket.write(get("1"));
    await caller.answered(1);
    const startedAtMs = core.monotonicMs();
    const closedAtMs = caller.closed.then(() => core.monotonicMs());
    await finishRequests(harness.state, harness.listener, {
      lingerMs: 2_700,
      isHandedOver: () => true,
    });
    t.true(core.monotonicMs() - startedAtMs < 1_200);
    const lastedMs = await closedAtMs - startedAtMs;
    t.true(lastedMs >= 1_000, `${lastedMs} ms`);
  }, { kind: "stream" });
});
