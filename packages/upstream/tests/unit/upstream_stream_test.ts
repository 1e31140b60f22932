import test from "ava";
import * as upstream from "../../mod.ts";

const COMPLETION_ID = "chatcmpl-1";

function messageOf(sequence: number, finishReason?: string) {
  const choices = [{
    delta: { content: `${sequence} ` },
    finish_reason: finishReason ?? null,
  }];
  const data = JSON.stringify({ id: COMPLETION_ID, choices });
  return { id: String(sequence), data, event: undefined };
}

test("the awaited event is kept, however many later ones are buffered", (t) => {
  const dropped = { foreign: 0, duplicate: 0 };
  const validator = new upstream.StreamValidator(COMPLETION_ID, dropped);
  const last = 64;
  for (let sequence = 1; sequence < last; sequence++) {
    t.deepEqual(validator.accept(messageOf(sequence)), []);
  }
  t.deepEqual(validator.accept(messageOf(last, "stop")), []);
  const events = validator.accept(messageOf(0));
  t.is(events.length, last + 1);
  t.is(events.at(0)?.contentText, "0 ");
  validator.accept({ id: undefined, data: "[DONE]", event: undefined });
  t.true(validator.isComplete);
});

test("a stream with a dropped event is not complete", (t) => {
  const dropped = { foreign: 0, duplicate: 0 };
  const validator = new upstream.StreamValidator(COMPLETION_ID, dropped);
  for (let sequence = 1; sequence <= 70; sequence++) {
    validator.accept(messageOf(sequence, sequence === 70 ? "stop" : undefined));
  }
  validator.accept(messageOf(0));
  validator.accept({ id: undefined, data: "[DONE]", event: undefined });
  t.false(validator.isComplete);
});
