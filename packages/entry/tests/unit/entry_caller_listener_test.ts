import test from "ava";
import { Buffer } from "node:buffer";
import type { IncomingHttpHeaders, RequestListener } from "node:http";
import * as core from "../../../core/mod.ts";
import type * as fleet from "../../../fleet/mod.ts";
import {
  HarnessDialect,
  type ListenerHarness,
  respondAfter,
  withListener,
} from "../listener_harness.ts";

const GET = "GET /a/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n";
const NO_REQUEST = "\0 no request\r\n\r\n";

// Guards against Node's answer to bytes that follow on a request, such as 400
// or 408, taking the place of the answer to that request, which runs.
test.serial("bytes that are no request do not replace the answer before them", async (t) => {
  await withListener(respondAfter(400), async (harness) => {
    const caller = harness.connect();
    caller.socket.write(GET);
    await harness.reached(1);
    for (const _ of Array(3)) {
      caller.socket.write(NO_REQUEST);
      await core.sleep(20);
    }
    await caller.closed;
    t.deepEqual(caller.statuses, [200]);
    t.regex(caller.text, /connection: close.*whole$/is);
  });
});

// Guards against the same where the head of the next request does not end.
test.serial("a head that is not completed does not replace the answer before it", async (t) => {
  await withListener(respondAfter(3_000), async (harness) => {
    const caller = harness.connect();
    caller.socket.write(GET);
    await harness.reached(1);
    caller.socket.write("GET /a/ HTTP/1.1\r\n");
    await caller.closed;
    t.deepEqual(caller.statuses, [200]);
    t.regex(caller.text, /whole$/);
  });
});

// Guards against 400 in place of the answer to a request that runs, where its
// caller closes its end in the middle of the next one.
for (
  const [name, next] of Object.entries({
    head: "GET /a/ HTTP/1.1\r\n",
    body:
      "POST /a/ HTTP/1.1\r\nHost: h\r\nX-Id: 2\r\nContent-Length: 9\r\n\r\nx",
  })
) {
  test.serial(`half a ${name} does not replace the answer before it`, async (t) => {
    await withListener(respondAfter(400), async (harness) => {
      const caller = harness.connect();
      caller.socket.write(GET);
      await harness.reached(1);
      caller.socket.end(next);
      await caller.closed;
      t.deepEqual(caller.statuses, []);
    });
  });
}

/** Sends events 100 ms apart. */
const respondWithEvents =
  (events: number): RequestListener => (request, response) => {
    response.writeHead(200, {
      "x-id": request.headers["x-id"],
      "content-type": "text/event-stream",
    });
    let count = 0;
    const timer = setInterval(() => {
      response.write(`id: ${++count}\ndata: x\n\n`);
      if (count < events) return;
      clearInterval(timer);
      response.end();
    }, 100);
  };

// Guards against a stream that has begun being cut off for what follows it.
test.serial("a stream ends whole before its connection is closed for malformed bytes", async (t) => {
  await withListener(respondWithEvents(5), async (harness) => {
    const caller = harness.connect();
    caller.socket.write(GET);
    await caller.answered(1);
    caller.socket.write(NO_REQUEST);
    await caller.closed;
    t.deepEqual(caller.statuses, [200]);
    t.regex(caller.text, /id: 5\ndata: x\n\n\r\n0\r\n\r\n$/);
  }, { kind: "stream" });
});

test.serial("a caller that leaves after malformed bytes leaves nothing running", async (t) => {
  const left: Promise<number>[] = [];
  await withListener(({ socket }) => {
    left.push(
      new Promise((resolve) =>
        socket.on("close", () => resolve(core.monotonicMs()))
      ),
    );
  }, async (harness) => {
    for (const [n, leave] of (["end", "resetAndDestroy"] as const).entries()) {
      const caller = harness.connect();
      caller.socket.write(GET);
      await harness.reached(n + 1);
      caller.socket.write(NO_REQUEST);
      await core.sleep(100);
      const leftAtMs = core.monotonicMs();
      caller.socket[leave]();
      t.true(await left.pop()! - leftAtMs < 500, leave);
    }
  });
});

test.serial("malformed bytes alone are answered with 400, slow heads with 408", async (t) => {
  await withListener(respondAfter(0), async (harness) => {
    const malformed = harness.connect();
    malformed.socket.write(NO_REQUEST);
    const slow = harness.connect();
    slow.socket.write("GET /a/ HTTP/1.1\r\n");
    // Sets the timeout for heads, which is in the configuration.
    const whole = harness.connect();
    whole.socket.write(GET);
    await malformed.closed;
    t.deepEqual(malformed.statuses, [400]);
    await slow.closed;
    t.deepEqual(slow.statuses, [408]);
    t.deepEqual(whole.statuses, [200]);
    whole.socket.destroy();
  });
});

/** Returns a header that cannot be written, and the upstream's seal. */
class UnwritableDialect extends HarnessDialect {
  override readResponse(
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): fleet.UpstreamResponse {
    const returnedHeaders = { "x-seal": "seal", "x-price": "5 \u20ac" };
    return { ...super.readResponse(status, headers), returnedHeaders };
  }
}

for (const isStopping of [false, true]) {
  // Guards against an exception leaving a caller without any answer, or giving
  // it the upstream's seal on an answer that is not the upstream's.
  test.serial(`a response that cannot be written ends with an error${isStopping ? " in a stop" : ""}`, async (t) => {
    await withListener(respondAfter(0), async (harness) => {
      if (isStopping) harness.listener.disableKeepAlive();
      const caller = harness.connect();
      caller.socket.write(GET);
      await caller.answered(1);
      await harness.idle();
      t.deepEqual(caller.statuses, [502]);
      t.regex(caller.text, /^HTTP\/1.1 502 Bad Gateway\r\n/);
      t.notRegex(caller.text, /x-seal|retry-after/i);
      t.regex(caller.text, /content-length: 0\r\n/i);
      t.is(harness.state.requestsInFlight, 0);
      t.true(harness.log.some((line) => line.includes("request_crashed")));
      caller.socket.destroy();
    }, { dialect: new UnwritableDialect() });
  });
}

/** Fails where the second request is passed on. */
class ThrowingDialect extends HarnessDialect {
  override writeRequest(request: fleet.UpstreamRequest) {
    if (request.caller.requestId === "2") throw new Error("not written");
    return super.writeRequest(request);
  }
}

// Guards against an exception in one request ending others, or its connection.
test.serial("an exception before anything was sent ends with an error, and the connection stays", async (t) => {
  await withListener(respondAfter(0), async (harness) => {
    const caller = harness.connect();
    for (const id of [1, 2, 3]) {
      caller.socket.write(GET.replace("X-Id: 1", `X-Id: ${id}`));
      await caller.answered(id);
    }
    t.deepEqual(caller.statuses, [200, 502, 200]);
    t.deepEqual(harness.received, ["1", "3"]);
    caller.socket.destroy();
  }, { dialect: new ThrowingDialect() });
});

/** Reads every request as one for a short generation. */
class ModelDialect extends HarnessDialect {
  override readRequest(headers: IncomingHttpHeaders) {
    const model = core.brandId<core.ModelName>("m");
    return super.readRequest(headers)
      .map((caller) => ({ ...caller, model, outputTokensMax: 5 }));
  }
}

// Guards against a stream being cut off at the end of a planned stop, as its
// engine was slower than estimated.
test.serial("a node that stops accepts no stream that may outlast the stop", async (t) => {
  await withListener(respondWithEvents(30), async (harness) => {
    const nowMs = core.monotonicMs();
    harness.listener.rejectNew(nowMs, nowMs + 1_800);
    const caller = harness.connect();
    caller.socket.write(GET);
    await core.sleep(1_800);
    harness.listener.endAll();
    await core.sleep(100);
    const isWhole = caller.text.endsWith("\r\n0\r\n\r\n");
    t.false(caller.statuses[0] === 200 && !isWhole, "a stream was cut off");
    t.deepEqual(caller.statuses, [503]);
    t.deepEqual(harness.received, []);
    caller.socket.destroy();
  }, { dialect: new ModelDialect(), kind: "stream" });
});

test.serial("a node that stops accepts a stream whose deadline is before its end", async (t) => {
  await withListener(respondWithEvents(5), async (harness) => {
    const nowMs = core.monotonicMs();
    harness.listener.rejectNew(nowMs, nowMs + 1_800);
    const caller = harness.connect();
    caller.socket.write(GET.replace("X-Id: 1", "X-Id: 1\r\nX-Deadline: 1200"));
    await caller.has(/\r\n0\r\n\r\n$/);
    t.deepEqual(caller.statuses, [200]);
    t.regex(caller.text, /id: 5\ndata: x\n\n\r\n0\r\n\r\n$/);
    caller.socket.destroy();
  }, { dialect: new ModelDialect(), kind: "stream" });
});

const CONNECT = "CONNECT h:80 HTTP/1.1\r\nHost: h\r\nX-Id: 2\r\n\r\n";

// Guards against Node closing the connection of a CONNECT without an answer,
// and with it the answer to the request before.
test.serial("a CONNECT is refused with 501, after the answer to what came before", async (t) => {
  await withListener(respondAfter(300), async (harness) => {
    const alone = harness.connect();
    alone.socket.write(CONNECT);
    await alone.closed;
    t.deepEqual(alone.statuses, [501]);
    const caller = harness.connect();
    caller.socket.write(GET);
    await harness.reached(1);
    caller.socket.write(CONNECT);
    await caller.closed;
    t.is(caller.statuses[0], 200);
    t.regex(caller.text, /whole/);
    t.deepEqual(harness.received, ["1"]);
    t.is(harness.state.requestsInFlight, 0);
  });
});

// Guards against a caller that does not read holding a request, its upstream's
// connection and a planned stop for ever.
test.serial("a stream to a caller that does not read ends at its deadline", async (t) => {
  const event = `data: ${"x".repeat(100_000)}\n\n`;
  await withListener((request, response) => {
    response.writeHead(200, { "x-id": request.headers["x-id"] });
    const write = () => {
      while (!response.destroyed && response.write(event));
      if (!response.destroyed) response.once("drain", write);
    };
    write();
  }, async (harness) => {
    const caller = harness.connect();
    caller.socket.pause();
    caller.socket.write(GET.replace("X-Id: 1", "X-Id: 1\r\nX-Deadline: 500"));
    await harness.reached(1);
    t.is(harness.state.requestsInFlight, 1);
    await harness.idle();
    caller.socket.resume();
    await caller.closed;
    t.false(caller.text.endsWith("\r\n0\r\n\r\n"));
  }, { kind: "stream" });
});

/** The time for which a response says that its connection stays, in s. */
function announcedS(text: string): number {
  return Number(
    text.match(/keep-alive: timeout=(\d+)(?!.*keep-alive:)/is)?.[1],
  );
}

/** Serves one request on a connection that is then closed. */
async function serveOnce(harness: ListenerHarness): Promise<string> {
  const caller = harness.connect();
  caller.socket.write(GET);
  await caller.answered(1);
  caller.socket.destroy();
  return caller.text;
}

// Guards against a shorter idle timeout in a new configuration closing kept
// connections before the time that their callers were told.
test.serial("a kept connection stays open as long as its last response said", async (t) => {
  await withListener(respondAfter(100), async (harness) => {
    harness.configure(2, { idleTimeoutMs: 4_000 });
    await serveOnce(harness);
    const caller = harness.connect();
    caller.socket.write(GET);
    await harness.reached(2);
    harness.configure(3, { idleTimeoutMs: 1_000 });
    await serveOnce(harness);
    await caller.answered(1);
    t.is(announcedS(caller.text), 4);
    await core.sleep(3_000);
    t.false(caller.socket.destroyed, "closed before its time");
    caller.socket.write(GET);
    await caller.answered(2);
    t.deepEqual(caller.statuses, [200, 200]);
    t.is(announcedS(caller.text), 1);
    await core.sleep(2_300);
    t.true(caller.socket.destroyed, "idle for longer than it said");
  });
});

// Guards against responses that say how long connections stayed open under the
// configuration before, or before there was one.
test.serial("a response says the idle timeout that is in force", async (t) => {
  await withListener(respondAfter(0), async (harness) => {
    harness.configure(2, { idleTimeoutMs: 15_000 });
    t.is(announcedS(await serveOnce(harness)), 15);
    harness.configure(3, { idleTimeoutMs: 2_500 });
    t.is(announcedS(await serveOnce(harness)), 2);
    harness.configure(4, { idleTimeoutMs: 0 });
    t.notRegex(await serveOnce(harness), /keep-alive: timeout/i);
  });
});

// Guards against a reset of the connection, as bytes of the body are unread,
// that reaches the caller before it has read why the request was refused.
test.serial("a refusal in a stop reaches a caller that reads after sending its body", async (t) => {
  await withListener(respondAfter(0), async (harness) => {
    const nowMs = core.monotonicMs();
    harness.listener.disableKeepAlive();
    harness.listener.rejectNew(nowMs, nowMs);
    const caller = harness.connect();
    caller.socket.pause();
    caller.socket.write(
      "POST /a/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: 500000\r\n\r\n",
    );
    for (let n = 0; n < 50; n++) {
      caller.socket.write(Buffer.alloc(10_000));
      await core.sleep(5);
    }
    caller.socket.resume();
    await caller.closed;
    t.is(caller.error, undefined);
    t.deepEqual(caller.statuses, [503]);
    t.regex(caller.text, /connection: close/i);
    t.is(harness.state.requestsInFlight, 0);
  });
});
