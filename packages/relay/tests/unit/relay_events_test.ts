import test from "ava";
import { Buffer } from "node:buffer";
import * as relay from "../../mod.ts";

function isInsideEventAfter(chunks: readonly string[]): boolean {
  const tracker = new relay.EventBoundaryTracker();
  for (const chunk of chunks) tracker.accept(Buffer.from(chunk));
  return tracker.isInsideEvent;
}

for (const lineEnd of ["\n", "\r\n", "\r"]) {
  const name = JSON.stringify(lineEnd);
  const event = `id: 1${lineEnd}data: a${lineEnd}${lineEnd}`;

  test(`an event ends with a blank line, lines end with ${name}`, (t) => {
    t.false(isInsideEventAfter([event]));
    t.false(isInsideEventAfter([event + event]));
    t.false(isInsideEventAfter([...event]), "byte by byte");
  });

  test(`a stream is inside an event before that line, lines end with ${name}`, (t) => {
    for (let length = 1; length <= event.length - lineEnd.length; length++) {
      t.true(isInsideEventAfter([event, event.slice(0, length)]));
      t.true(isInsideEventAfter([...event.slice(0, length)]));
    }
  });
}

test("a stream without any bytes is not inside an event", (t) => {
  t.false(isInsideEventAfter([]));
});
