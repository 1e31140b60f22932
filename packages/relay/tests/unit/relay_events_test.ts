import test from "ava";
import fc from "fast-check";
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

for (const lineEnd of ["\n", "\r\n", "\r"]) {
  const name = JSON.stringify(lineEnd);
  const event = (id: number) =>
    `id: ${id}${lineEnd}data: a${lineEnd}${lineEnd}`;

  test(`a stream is split after its events, lines end with ${name}`, (t) => {
    const buffer = new relay.EventStreamBuffer();
    const complete = buffer
      .append(Buffer.from(`${event(1)}${event(2)}id: 3${lineEnd}`));
    t.is(complete.toString(), event(1) + event(2));
    t.is(buffer.lastEventId, "2");
    buffer.discardPending();
    t.is(buffer.pendingBytes, 0);
  });

  test(`no byte of a stream is lost byte by byte, lines end with ${name}`, (t) => {
    const buffer = new relay.EventStreamBuffer();
    let passedOn = "";
    for (const byte of event(1) + event(2)) {
      passedOn += buffer.append(Buffer.from(byte)).toString();
    }
    passedOn += buffer.takePending().toString();
    t.is(passedOn, event(1) + event(2));
    t.is(buffer.lastEventId, "2");
  });
}

// Guards against bytes that are lost or reordered where a stream is split.
test("a stream is split alike, whatever chunks it arrives in", (t) => {
  const piece = fc.constantFrom(
    "\n",
    "\r",
    "\r\n",
    "id: 7",
    "id:",
    "data: a",
    "i",
  );
  const part = fc.string({ unit: piece, minLength: 1, maxLength: 6 });
  fc.assert(
    fc.property(fc.array(part, { maxLength: 12 }), (parts) => {
      const buffer = new relay.EventStreamBuffer();
      const passedOn = parts.map((text) => buffer.append(Buffer.from(text)));
      const complete = Buffer.concat(passedOn).toString();
      const whole = new relay.EventStreamBuffer();
      const text = parts.join("");
      const pending = buffer.takePending().toString();
      t.is(complete + pending, text);
      const wholeComplete = whole.append(Buffer.from(text)).toString();
      t.is(
        complete.replace(/[\r\n]+$/, ""),
        wholeComplete.replace(/[\r\n]+$/, ""),
      );
      t.is(buffer.lastEventId, whole.lastEventId);
    }),
    { numRuns: 2_000 },
  );
});

// Guards against a node that is held up by an event that arrives in small chunks.
test("the cost of a chunk does not grow with its event", (t) => {
  const buffer = new relay.EventStreamBuffer();
  const chunk = Buffer.from("0123456789");
  const startedAtMs = performance.now();
  for (let n = 0; n < 100_000; n++) buffer.append(chunk);
  const tookMs = performance.now() - startedAtMs;
  t.is(buffer.pendingBytes, 1_000_000);
  t.true(tookMs < 2_000, `took ${tookMs} ms`);
});
