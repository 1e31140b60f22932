/** Requests under a quota at the listener for callers. */
import test from "ava";
import type { IncomingHttpHeaders } from "node:http";
import * as core from "../../../../core/mod.ts";
import type * as fleet from "../../../../fleet/mod.ts";
import {
  HarnessDialect,
  type ListenerHarness,
  respondAfter,
  withListener,
} from "../../../tests/listener_harness.ts";

const KEY = core.brandId<core.KeyDigest>("digest");
const TEAM: fleet.TeamSpec = {
  name: core.brandId<core.TeamName>("team"),
  keyDigests: [KEY],
  quota: {
    unit: "tokens",
    ratePerS: 10_000,
    burst: 10_000,
    plainTokens: 4_000,
  },
};
const JOINED_MS = 1_050;

/** Every request has the key; each upstream's refusal is believed. */
class KeyDialect extends HarnessDialect {
  override readKey(_headers: IncomingHttpHeaders): core.KeyDigest {
    return KEY;
  }
  override readResponse(
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): fleet.UpstreamResponse {
    const isNotRun = headers["x-not-run"] !== undefined;
    return { ...super.readResponse(status, headers), isNotRun };
  }
}

/** Puts the team in force at a node that is the only one, and lets it join. */
async function join(harness: ListenerHarness): Promise<void> {
  const { state } = harness;
  state.members.setRow(state.settings.nodeName, {
    callerAddress: "127.0.0.1:1",
    peerAddress: "127.0.0.1:1",
    failureDomain: "d",
    incarnation: "i",
    isLeaving: false,
  });
  harness.configure(2, { teams: [TEAM] });
  state.quotas.setConnected(1);
  await core.sleep(JOINED_MS);
  state.quotas.setConnected(1);
}

function send(harness: ListenerHarness, id: string) {
  const connection = harness.connect();
  connection.socket.write(`GET /a/ HTTP/1.1\r\nHost: h\r\nX-Id: ${id}\r\n\r\n`);
  return connection;
}

// Guards against requests over the quota that run, that wait, or that are told
// nothing of when to come back.
test("a request over the quota is answered 429 and runs nowhere", async (t) => {
  await withListener(respondAfter(0), async (harness) => {
    await join(harness);
    const connection = send(harness, "r1");
    await connection.answered(1);
    t.deepEqual(connection.statuses, [429]);
    const [, afterS] = /retry-after: ([\d.]+)/i.exec(connection.text)!;
    t.true(Number(afterS) > 0.1 && Number(afterS) < 0.4, afterS);
    t.deepEqual(harness.received, []);
    const line = harness.log.find((each) => /request_refused/.test(each))!;
    t.regex(line, /status=429 reason=exhausted .*team=team cost=4000 balance=/);
    await core.sleep(Number(afterS) * 1_000 + 20);
    const second = send(harness, "r2");
    await second.answered(1);
    t.deepEqual(second.statuses, [200]);
    connection.socket.destroy();
    second.socket.destroy();
  }, { dialect: new KeyDialect() });
});

// Guards against a team that pays for what its requests did not get.
test("a request that the upstream did not run is refunded", async (t) => {
  let isRefusing = true;
  await withListener((request, response) => {
    const headers = { "x-id": request.headers["x-id"] ?? "", "x-seal": "s" };
    response.writeHead(isRefusing ? 503 : 200, {
      ...headers,
      ...(isRefusing ? { "x-not-run": "1" } : {}),
    }).end();
  }, async (harness) => {
    await join(harness);
    await core.sleep(400);
    const refused = send(harness, "r1");
    await refused.answered(1);
    t.deepEqual(refused.statuses, [503]);
    t.is(harness.state.metrics.counterValue("quota_refunds"), 1);
    isRefusing = false;
    const ran = send(harness, "r2");
    await ran.answered(1);
    t.deepEqual(ran.statuses, [200]);
    t.is(harness.state.metrics.counterValue("quota_refunds"), 1);
    refused.socket.destroy();
    ran.socket.destroy();
  }, { dialect: new KeyDialect() });
});
