import test from "ava";
import fc from "fast-check";
import { Buffer } from "node:buffer";
import process from "node:process";
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

const events = (...ids: (number | string)[]) =>
  Buffer.from(ids.map((id) => `id: ${id}\ndata: d\n\n`).join(""));

// Guards against events that come twice as an answer begins anew.
test("an answer that does not go on after the last event is out of place", (t) => {
  const cases = [
    { last: "4", ids: [1, 2, 9], isOutOfPlace: true },
    { last: "4", ids: [4, 5], isOutOfPlace: true },
    { last: "9", ids: [10], isOutOfPlace: false },
    { last: "10", ids: [9, 11], isOutOfPlace: true },
    { last: "4", ids: [7, 8], isOutOfPlace: false },
    { last: "99999999999999999999", ids: ["99999999999999999998"] },
    { last: "b", ids: ["b", "c"], isOutOfPlace: true },
    { last: "b", ids: ["a"], isOutOfPlace: false },
  ];
  for (const { last, ids, isOutOfPlace = true } of cases) {
    const buffer = new relay.EventStreamBuffer(last);
    t.is(buffer.append(Buffer.from(": comment\n\n")).length, 11);
    const relayed = buffer.append(events(...ids));
    t.is(buffer.isOutOfPlace, isOutOfPlace, `${ids} after ${last}`);
    t.is(relayed.length > 0, !isOutOfPlace);
    t.is(buffer.lastEventId, isOutOfPlace ? last : String(ids.at(-1)));
  }
});

test("each answer of a stream has to go on after the last event", (t) => {
  const buffer = new relay.EventStreamBuffer();
  t.true(buffer.append(events(1, 2)).length > 0);
  buffer.beginAnswer();
  t.is(buffer.append(events(1)).length, 0);
  t.true(buffer.isOutOfPlace);
  buffer.beginAnswer();
  t.true(buffer.append(events(3)).length > 0);
  t.false(buffer.isOutOfPlace);
});

// Guards against events that are missing where an answer joins another one.
test("where events are numbered without gaps, an answer goes on with the next", (t) => {
  const buffer = new relay.EventStreamBuffer();
  for (const id of [1, 2, 3, 4]) buffer.append(events(id));
  buffer.beginAnswer();
  t.is(buffer.append(events(7)).length, 0);
  t.true(buffer.isOutOfPlace);
  buffer.beginAnswer();
  t.true(buffer.append(events(5, 6)).length > 0);
  t.is(buffer.lastEventId, "6");
});

// Guards against an error, or a head, in the middle of a stream.
for (
  const text of [
    "event: error\ndata: overloaded\n\n",
    "HTTP/1.1 503 Full\r\nx-not-run: 1\r\n\r\n",
    "data: text\n\n",
  ]
) {
  test(`an answer that begins with ${text.slice(0, 12)} does not go on`, (t) => {
    const buffer = new relay.EventStreamBuffer();
    buffer.append(events(1, 2));
    buffer.beginAnswer();
    t.is(buffer.append(Buffer.from(text)).length, 0);
    t.true(buffer.isOutOfPlace);
    t.false(buffer.hasGoneOn);
    t.is(buffer.lastEventId, "2");
  });
}

/** Processor time of a function, in ms. */
function cpuMsOf(run: () => void): number {
  const before = process.cpuUsage();
  run();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1_000;
}

for (const line of ["data: abc\n", "x"]) {
  const name = JSON.stringify(line);
  // Guards against an engine whose unfinished event takes the processor for good.
  test(`an unfinished event is buffered in linear time, in pieces of ${name}`, (t) => {
    const buffer = new relay.EventStreamBuffer();
    const piece = Buffer.from(line);
    const pieces = 20_000;
    const cpuMs = cpuMsOf(() => {
      for (let n = 0; n < pieces; n++) buffer.append(piece);
    });
    t.is(buffer.pendingBytes, pieces * piece.length);
    t.true(cpuMs < 300, `took ${cpuMs} ms`);
    const event = buffer.append(Buffer.from("\nid: 7\n\nid: 8"));
    const start = line.repeat(pieces) + "\n";
    t.true(event.toString().startsWith(start));
    t.is(buffer.lastEventId, "7");
    buffer.append(Buffer.from("9\n\n"));
    t.is(buffer.lastEventId, "89");
  });
}

// Guards against an engine whose comments take the processor for seconds.
test("comments before an answer goes on are read in linear time", (t) => {
  const buffer = new relay.EventStreamBuffer("4");
  const comments = Buffer.from(":\n\n".repeat(60_000));
  const cpuMs = cpuMsOf(() => buffer.append(comments));
  t.true(cpuMs < 300, `took ${cpuMs} ms`);
  t.true(buffer.append(events(5)).length > 0);
  t.false(buffer.isOutOfPlace);
});

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
