import test from "ava";
import * as core from "../../../core/mod.ts";
import { history, makeNode, makeRequest, never } from "../selector_node.ts";

// Guards against requests that wait for an engine, or have been granted it, and
// are sent there although it is leaving.
test("queued and granted requests leave an engine that is leaving", async (t) => {
  const { state, selector } = makeNode(["e1", "e2"]);
  const first = await selector
    .select(makeRequest("a"), history(false, ["e2"]), never);
  const second = await selector
    .select(makeRequest("b"), history(false, ["e1"]), never);
  const queued = Array.from(
    { length: 100 },
    (_, n) => {
      const { signal } = new AbortController();
      return selector.select(makeRequest(`q${n}`), history(true), signal);
    },
  );
  await core.sleep(20);
  const granted = first._unsafeUnwrap();
  t.is(granted.upstream.id, "e1" as core.UpstreamId);
  t.false(granted.isWithdrawn());
  granted.onLeaving(true, core.monotonicMs());
  t.true(granted.isWithdrawn());
  granted.onEnd("served");
  t.is(state.queue.size, 100);
  let ended = second._unsafeUnwrap();
  for (const selecting of queued) {
    ended.onEnd("served");
    ended = (await selecting)._unsafeUnwrap();
    t.is(ended.upstream.id, "e2" as core.UpstreamId);
  }
});
