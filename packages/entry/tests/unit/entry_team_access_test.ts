/** Which requests run under a team, at a listener on loopback. */
import { ok, type Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";
import test from "ava";
import * as core from "../../../core/mod.ts";
import type * as fleet from "../../../fleet/mod.ts";
import * as teams from "../../../teams/mod.ts";
import { EntryState } from "../../entry_state.ts";
import {
  type AccessSources,
  TeamAccess,
} from "../../teams/entry_team_access.ts";
import { makeEntrySettings } from "../entry_settings.ts";
import {
  HarnessDialect,
  respondAfter,
  withListener,
} from "../listener_harness.ts";

const KEY = "asnmgkcuyj8pjbvk9m68";

class KeyedDialect extends HarnessDialect {
  readonly sentTeams: (core.TeamName | undefined)[] = [];
  override readKey(headers: IncomingHttpHeaders) {
    return teams.readBearerKey(headers.authorization);
  }
  override writeRequest(request: fleet.UpstreamRequest) {
    this.sentTeams.push(request.team);
    return super.writeRequest(request);
  }
}

const TEAM: fleet.TeamSpec = {
  name: core.brandId<core.TeamName>("petitions"),
  keyDigests: [teams.digestKey(KEY)],
};

function send(
  id: string,
  key?: string,
  body = "4\r\nbody\r\n0\r\n\r\n",
): string {
  const authorization = key === undefined
    ? ""
    : `Authorization: Bearer ${key}\r\n`;
  return `POST /a/ HTTP/1.1\r\nHost: h\r\nX-Id: ${id}\r\n${authorization}` +
    `Transfer-Encoding: chunked\r\n\r\n${body}`;
}

// Guards against work for callers that nobody has let in, and against keys in
// the log.
test("a request without a key in force is answered 401 before its body, and runs nowhere", async (t) => {
  const dialect = new KeyedDialect();
  await withListener(respondAfter(0), async (harness) => {
    harness.configure(2, { teams: [TEAM] });
    for (const key of [undefined, "unknown-key-of-a-caller"]) {
      const caller = harness.connect();
      caller.socket.write(send("1", key, "4\r\nbo"));
      await caller.has(/ 401 /);
      caller.socket.destroy();
    }
    const caller = harness.connect();
    caller.socket.write(send("2", KEY));
    await caller.has(/whole/);
    caller.socket.destroy();
    t.deepEqual(harness.received, ["2"]);
    t.deepEqual(dialect.sentTeams, [TEAM.name]);
    const text = harness.log.join("\n");
    t.false(text.includes(KEY) || text.includes("unknown-key-of-a-caller"));
    t.is(harness.state.metrics.counterValue("keys_refused"), 2);
  }, { dialect });
});

// Guards against a caller that holds its place with an unfinished body until
// its key is gone.
test("a key that is removed while the body arrives is not used", async (t) => {
  await withListener(respondAfter(0), async (harness) => {
    harness.configure(2, { teams: [TEAM] });
    const caller = harness.connect();
    caller.socket.write(send("1", KEY, "4\r\nbody\r\n"));
    await core.sleep(50);
    harness.configure(3, { teams: [{ ...TEAM, keyDigests: [] }] });
    caller.socket.write("0\r\n\r\n");
    await caller.has(/ 401 /);
    caller.socket.destroy();
    t.deepEqual(harness.received, []);
  }, { dialect: new KeyedDialect() });
});

/** A check whose configuration has an age that a test sets. */
class AgedAccess {
  readonly state = new EntryState(
    { ...makeEntrySettings("n0"), revocationMs: 5_000 },
    new core.Logger({}, () => {}),
  );
  nowMs = 100_000;
  asOfMs = 100_000;
  readonly #access: TeamAccess;

  constructor() {
    const sources: AccessSources = {
      configAsOfMs: () => this.asOfMs,
      readClock: () => this.nowMs,
    };
    this.#access = new TeamAccess(this.state, new KeyedDialect(), sources);
    this.state.teams = new teams.TeamDirectory([TEAM]);
  }

  check(key: string | undefined, isPublic = false): Result<unknown, unknown> {
    const headers = key === undefined ? {} : { authorization: `Bearer ${key}` };
    return this.#access.check(headers, { isPublic } as fleet.RouteSpec)
      .map((team) => team?.name)
      .mapErr(({ status }) => status);
  }
}

test("a node whose configuration may be outdated answers under no key, nor says that one is unknown", (t) => {
  const node = new AgedAccess();
  t.deepEqual(node.check(KEY), ok(TEAM.name));
  node.nowMs += 4_400;
  t.deepEqual(node.check(KEY), ok(TEAM.name));
  node.nowMs += 1;
  for (const key of [KEY, "other", undefined]) {
    t.is(node.check(key)._unsafeUnwrapErr(), 503);
  }
  t.deepEqual(node.check(undefined, true), ok(undefined));
  node.asOfMs = node.nowMs;
  t.is(node.check("other")._unsafeUnwrapErr(), 401);
  t.deepEqual(node.check(KEY), ok(TEAM.name));
});

test("a configuration that cannot be read is taken for one that may remove any key", (t) => {
  const node = new AgedAccess();
  node.state.isConfigUnreadable = true;
  t.is(node.check(KEY)._unsafeUnwrapErr(), 503);
});
