import test from "ava";
import OpenAI from "openai";
import * as testing from "../../../testing/mod.ts";

const rows = [
  testing.makeRow("llama"),
  testing.makeAdapter("llama-fit", "llama"),
];

const cluster = new testing.TestCluster({
  entries: 2,
  services: { orders: 2, stock: 1 },
  rows,
});
let origins: string[] = [];

test.before(async () => {
  await cluster.start();
  origins = cluster.entries.map((entry) => entry.ready.callerAddress);
});

test.after.always(() => cluster.stop());

function client(): OpenAI {
  return new OpenAI({
    baseURL: `${origins[0]}/v1`,
    apiKey: testing.CALLER_TOKENS.kiosk,
    maxRetries: 0,
  });
}

test("the openai client lists the rows of the table", async (t) => {
  const models = await client().models.list();
  t.deepEqual(models.data.map(({ id }) => id).sort(), ["llama", "llama-fit"]);
});

test("the openai client gets a chat completion", async (t) => {
  const call = { model: "llama", prompt: "which lens?" };
  const completion = await client().chat.completions.create({
    model: call.model,
    messages: [{ role: "user", content: call.prompt }],
    max_tokens: 8,
  });
  t.is(completion.choices[0]?.message.content, testing.expectedText(call));
});

test("the openai client streams a completion from an adapter", async (t) => {
  const call = { model: "llama-fit", prompt: "which fit?", tokens: 30 };
  const stream = await client().chat.completions.create({
    model: call.model,
    messages: [{ role: "user", content: call.prompt }],
    max_tokens: call.tokens,
    stream: true,
  });
  let text = "";
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? "";
  }
  t.is(text, testing.expectedText(call));
});

test("a stream aborted by the client is cancelled on the engine", async (t) => {
  const before = cancelled();
  const stream = await client().chat.completions.create({
    model: "llama",
    messages: [{ role: "user", content: "cancel me" }],
    max_tokens: 100_000,
    stream: true,
  }, { headers: { "carawaywind-deadline-ms": "600000" } });
  for await (const _chunk of stream) break;
  stream.controller.abort();
  await testing.waitUntil(
    "the engine cancels the request",
    () => cancelled() > before,
  );
  t.pass();
});

function cancelled(): number {
  return cluster.engines.reduce((sum, { cancelled }) => sum + cancelled, 0);
}

test("the openai client exposes the numeric result code", async (t) => {
  const failure = await t.throwsAsync<InstanceType<typeof OpenAI.APIError>>(
    client().chat.completions.create({
      model: "nobody",
      messages: [{ role: "user", content: "x" }],
    }),
  );
  t.is(failure?.status, 404);
  t.is(failure?.code, "1004");
});

test("a non-repeatable call is replayed by another instance", async (t) => {
  const call = {
    service: "orders",
    path: "dispense",
    body: { lens: 3 },
    key: "replay-1",
  };
  const first = await testing.callService(origins[0] ?? "", call);
  const second = await testing.callService(origins[1] ?? "", call);
  t.is(first.status, 200);
  t.deepEqual(second, first);
  const runs = cluster.services.get("orders")
    ?.map((service) => service.runs.get("kiosk/replay-1") ?? 0);
  t.is(runs?.reduce((sum, count) => sum + count, 0), 1);
});
