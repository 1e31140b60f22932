import test from "ava";
import * as core from "../../../core/mod.ts";
import { history, makeNode, makeRequest, never } from "../selector_node.ts";

// Guards against an engine that gets more requests than the rate that it names.
test("an engine is selected no more often than it allows", async (t) => {
  const { state, selector } = makeNode(["e1"], [], 1_000);
  state.hasReadMembers = true;
  const [engine] = state.upstreams.all();
  const nowMs = core.monotonicMs();
  state.recordRateLimit(engine!.record, 4, nowMs, nowMs);
  let selected = 0;
  const selections: Promise<void>[] = [];
  const deadline = new core.Deadline(4_000);
  for (let n = 0; !deadline.isOver(); n++) {
    const request = { ...makeRequest(`r${n}`), deadlineAtMs: nowMs + 4_000 };
    selections.push(
      selector.select(request, history(false), never).then((assigned) => {
        if (assigned.isErr()) return;
        selected++;
        assigned.value.onEnd("served");
      }),
    );
    await core.sleep(25);
    selector.selectForQueued();
  }
  await Promise.all(selections);
  t.true(selected <= 4 * 4 + 5, `${selected} selected in 4 s`);
  t.true(selected >= 4 * 4 * 0.7, `${selected} selected in 4 s`);
});
