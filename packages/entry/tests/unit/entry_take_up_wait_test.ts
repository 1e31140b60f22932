/** Whether a stream that is taken up may wait for an engine of its version. */
import test from "ava";
import * as core from "../../../core/mod.ts";
import * as dispatch from "../../../dispatch/mod.ts";
import type * as relay from "../../../relay/mod.ts";
import {
  history,
  makeNode,
  makeRequest,
  MODEL,
  never,
  version,
} from "../selector_node.ts";

/** Prompts whose prefill takes 3.2 s and 4.8 s, longer than callers wait. */
const LONG_PROMPT_TOKENS = 60_000;
const LONGER_PROMPT_TOKENS = 90_000;

let requestCount = 0;

type Node = ReturnType<typeof makeNode>;

/** Selects for a request, which runs at a version only if one is given. */
function select(
  { selector }: Node,
  softwareVersion?: string,
  promptTokens = 10,
): ReturnType<Node["selector"]["select"]> {
  const request = makeRequest(`r${++requestCount}`);
  const long: relay.RelayedRequest = {
    ...request,
    caller: { ...request.caller, promptTokens },
  };
  const pinned = softwareVersion === undefined
    ? {}
    : { softwareVersion: version(softwareVersion) };
  return selector.select(long, { ...history(false), ...pinned }, never);
}

/** A node all of whose engines are busy, and what ends their requests. */
async function makeBusyNode(versions: readonly string[]) {
  const node = makeNode(versions.map((_, n) => `e${n + 1}`), versions);
  const running = await Promise.all(versions.map(() => select(node)));
  const endAll = () => {
    for (const each of running) each._unsafeUnwrap().onEnd("served");
  };
  return { node, endAll };
}

// Guards against a take-up that is rejected at once for the new streams that
// wait on other nodes.
test("a stream that is taken up waits however many new ones other nodes queue", async (t) => {
  const { node, endAll } = await makeBusyNode(["v1"]);
  const modelKey = dispatch.toModelKey(MODEL, undefined);
  node.state.fleetQueues = new Map([[modelKey, 1_000_000]]);
  t.true((await select(node)).isErr());
  const takenUp = select(node, "v1");
  await core.sleep(20);
  t.is(node.state.queue.size, 1);
  endAll();
  t.true((await takenUp).isOk());
});

// Guards against a take-up that is rejected at once for new streams that go
// after it.
test("a stream that is taken up does not count new ones as ahead of it", async (t) => {
  const { node, endAll } = await makeBusyNode(["v1"]);
  const fresh = select(node, undefined, LONG_PROMPT_TOKENS);
  await core.sleep(5);
  const takenUp = select(node, "v1");
  await core.sleep(20);
  t.is(node.state.queue.size, 2);
  endAll();
  (await takenUp)._unsafeUnwrap().onEnd("served");
  t.true((await fresh).isOk());
});

// Guards against a take-up that is rejected at once for those of another version.
test("a stream that is taken up counts no work of another version", async (t) => {
  const { node, endAll } = await makeBusyNode(["v1", "v2"]);
  const other = select(node, "v2", LONGER_PROMPT_TOKENS);
  await core.sleep(5);
  const takenUp = select(node, "v1");
  await core.sleep(20);
  t.is(node.state.queue.size, 2);
  endAll();
  t.true((await takenUp).isOk());
  t.true((await other).isOk());
});

// Guards against a take-up that waits in vain, as replicas at which it can't run
// make its queue look short.
test("a stream that is taken up counts the replicas of its version only", async (t) => {
  const { node, endAll } = await makeBusyNode(["v1", "v2", "v2"]);
  const first = select(node, "v1", LONG_PROMPT_TOKENS);
  await core.sleep(5);
  const rejected = await select(node, "v1");
  t.regex(rejected.isErr() ? rejected.error.reason : "", /^queue is \d+ ms/);
  endAll();
  t.true((await first).isOk());
});
