/** Sound upstreams that send nothing for a while and then go on. */
import test from "ava";
import {
  type Behaviour,
  rejectNotRun,
  relayTo,
  signedHeaders,
} from "../relay_harness.ts";

const STREAM = {
  kind: "stream",
  isResumable: true,
  latencyTargetMs: 300,
} as const;
/** Longer than the silence after which another upstream is sought. */
const SILENCE_MS = 1_700;

function event(id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`;
}

/** Sends the first event, falls silent, and sends the second one. */
const pause: Behaviour = (_request, response) => {
  response.writeHead(200, signedHeaders).write(event(1));
  setTimeout(() => response.end(event(2)), SILENCE_MS);
};

const neverGoOn: Behaviour = (_request, response) => {
  response.writeHead(200, signedHeaders).write(event(1));
};

const goOn: Behaviour = (_request, response) => {
  response.writeHead(200, signedHeaders).end(event(2));
};

// Guards against a started stream that is cut off because its upstream is silent
// and no other one is free.
test("a stream waits for its silent upstream while no other can take it", async (t) => {
  const result = await relayTo([pause], STREAM);
  t.true(result.isComplete);
  t.true(result.body.includes(event(1)) && result.body.includes(event(2)));
  t.deepEqual(result.outcomes, ["served"]);
});

// Guards against the same where the retry budget does not allow another run.
test("a stream waits for its silent upstream while the retry budget is exhausted", async (t) => {
  const result = await relayTo([pause, goOn], STREAM, { budget: 0 });
  t.true(result.isComplete);
  t.deepEqual(result.runs, [""]);
});

test("a stream whose upstream stays silent goes on at another one", async (t) => {
  const result = await relayTo([neverGoOn, goOn], STREAM);
  t.true(result.isComplete);
  t.deepEqual(result.runs, ["", "1"]);
  t.deepEqual(result.outcomes, ["failed", "served"]);
});

// Guards against a stream that is taken off a silent upstream, and then cut off
// because the next one declines and the retry budget is exhausted for a moment.
test("a stream taken off a silent upstream waits for the retry budget", async (t) => {
  const result = await relayTo([neverGoOn, rejectNotRun, goOn], STREAM, {
    budget: 1,
    budgetReturnsAfterMs: SILENCE_MS + 400,
  });
  t.true(result.isComplete);
  t.deepEqual(result.outcomes, ["failed", "shed", "served"]);
});

// Guards against a safe request that loses its answer to a silent upstream,
// because it is sent again where nothing can take it.
test("a safe request waits for its silent upstream while no other can take it", async (t) => {
  const respondLate: Behaviour = (_request, response) => {
    setTimeout(
      () => response.writeHead(200, signedHeaders).end("whole"),
      SILENCE_MS,
    );
  };
  const result = await relayTo([respondLate], { latencyTargetMs: 300 });
  t.is(result.status, 200);
  t.is(result.body, "whole");
});
