/** What an entry instance adds to a request, and how much it carries. */
import { request } from "undici";
import * as core from "../core/mod.ts";
import * as testing from "../testing/mod.ts";
import * as table from "../table/mod.ts";
import { readMetrics } from "./bench_metrics.ts";
import { percentile } from "./bench_policies.ts";
import { SHIPPED_SETTINGS } from "./bench_settings.ts";
import { EngineProcess } from "./bench_engine.ts";

const SEQUENTIAL_CALLS = 600;
const WARM_CALLS = 300;
const SATURATION_MS = 5_000;
const SATURATION_CALLERS = 64;
const STREAMS = 48;
const STREAM_TOKENS = 400;
const CONCURRENCIES = [10, 100, 300, 1_000];
const BYTES_PER_MB = 1_000_000;

/** Durations at three percentiles, in milliseconds. */
export interface Percentiles {
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
}

/** What the path costs. */
export interface PathResult {
  readonly direct: Percentiles;
  readonly throughEntry: Percentiles;
  readonly requestsPerS: number;
  readonly directRequestsPerS: number;
  readonly tokensPerS: number;
  readonly directTokensPerS: number;
  readonly idleMb: number;
  readonly loadedMb: number;
  readonly streams: readonly {
    readonly streams: number;
    readonly firstToken: Percentiles;
    readonly directFirstToken: Percentiles;
    readonly broken: number;
  }[];
}

const row = testing.makeRow("llama");
const artifactId = String(table.artifactOf(row));

function toPercentiles(values: readonly number[]): Percentiles {
  return {
    p50Ms: percentile(values, 0.5),
    p95Ms: percentile(values, 0.95),
    p99Ms: percentile(values, 0.99),
  };
}

async function timed(work: () => Promise<unknown>): Promise<number> {
  const startedAtMs = core.monotonicMs();
  await work();
  return core.monotonicMs() - startedAtMs;
}

/** A completion with one token, so that the path is what counts. */
async function shortCall(origin: string, model: string): Promise<void> {
  const answer = await request(`${origin}/v1/chat/completions`, {
    method: "POST",
    headers: {
      "content-type": "application/json",
      authorization: `Bearer ${testing.CALLER_TOKENS.kiosk}`,
      "x-request-id": core.randomId("at"),
    },
    body: JSON.stringify({
      model,
      messages: [{ role: "user", content: "x" }],
      max_tokens: 1,
    }),
  });
  await answer.body.dump();
  if (answer.statusCode !== 200) throw new Error(`status ${answer.statusCode}`);
}

async function saturate(origin: string, model: string): Promise<number> {
  const deadline = new core.Deadline(SATURATION_MS);
  let calls = 0;
  await Promise.all(
    Array.from({ length: SATURATION_CALLERS }, async () => {
      while (!deadline.isOver()) {
        await shortCall(origin, model);
        calls++;
      }
    }),
  );
  return calls / (SATURATION_MS / 1_000);
}

/** Streams at once; returns when each saw its first token, and the rate. */
async function streams(
  origin: string,
  model: string,
  count: number,
  tokens: number,
): Promise<{ firstMs: number[]; tokensPerS: number; broken: number }> {
  const firstMs: number[] = [];
  let broken = 0;
  const startedAtMs = core.monotonicMs();
  await Promise.all(
    Array.from({ length: count }, async (_, n) => {
      const begunAtMs = core.monotonicMs();
      let first = true;
      const end = await testing.stream(
        origin,
        { model, prompt: `stream ${n}`, tokens },
        () => {
          if (first) firstMs.push(core.monotonicMs() - begunAtMs);
          first = false;
        },
      );
      if (!end.whole) broken++;
    }),
  );
  const elapsedS = (core.monotonicMs() - startedAtMs) / 1_000;
  return { firstMs, tokensPerS: count * tokens / elapsedS, broken };
}

/** Measures the path with one entry and one engine, each a process. */
export async function measurePath(): Promise<PathResult> {
  const engine = await EngineProcess.start({
    slots: 2_000,
    waitingMax: 10_000,
    firstTokenMs: 0,
    tokenMs: 0,
  });
  const slow = await EngineProcess.start({
    slots: 2_000,
    waitingMax: 10_000,
    firstTokenMs: 20,
    tokenMs: 20,
  });
  try {
    const fast = await measureFast(engine);
    const growth = await measureGrowth(slow);
    return { ...fast, streams: growth };
  } finally {
    await engine.stop();
    await slow.stop();
  }
}

async function withEntry<Result>(
  engine: EngineProcess,
  body: (origin: string, entry: testing.EntryProcess) => Promise<Result>,
): Promise<Result> {
  const world = new testing.World({
    entries: 0,
    engines: 0,
    links: false,
    settings: SHIPPED_SETTINGS,
  });
  try {
    await world.start();
    engine.register(world.instanceList);
    const entry = await world.startEntry("entry-1");
    await world.whenReady();
    await world.edit([row]);
    const origin = entry.ready.callerAddress;
    await testing.until("the model answers", async () => {
      const answer = await testing.complete(origin, {
        model: "llama",
        prompt: "x",
      });
      return answer.status === 200;
    });
    return await body(origin, entry);
  } finally {
    await world.stop();
  }
}

function measureFast(
  engine: EngineProcess,
): Promise<Omit<PathResult, "streams">> {
  return withEntry(engine, async (origin, entry) => {
    const idleMb = await residentMb(entry);
    for (let n = 0; n < WARM_CALLS; n++) {
      await shortCall(engine.origin, artifactId);
      await shortCall(origin, "llama");
    }
    const direct: number[] = [];
    const through: number[] = [];
    for (let n = 0; n < SEQUENTIAL_CALLS; n++) {
      direct.push(await timed(() => shortCall(engine.origin, artifactId)));
      through.push(await timed(() => shortCall(origin, "llama")));
    }
    const directRequestsPerS = await saturate(engine.origin, artifactId);
    const requestsPerS = await saturate(origin, "llama");
    const directStreams = await streams(
      engine.origin,
      artifactId,
      STREAMS,
      STREAM_TOKENS,
    );
    const entryStreams = await streams(origin, "llama", STREAMS, STREAM_TOKENS);
    return {
      direct: toPercentiles(direct),
      throughEntry: toPercentiles(through),
      requestsPerS,
      directRequestsPerS,
      tokensPerS: entryStreams.tokensPerS,
      directTokensPerS: directStreams.tokensPerS,
      idleMb,
      loadedMb: await residentMb(entry),
    };
  });
}

function measureGrowth(engine: EngineProcess): Promise<PathResult["streams"]> {
  return withEntry(engine, async (origin) => {
    const results = [];
    for (const count of CONCURRENCIES) {
      const direct = await streams(engine.origin, artifactId, count, 50);
      const through = await streams(origin, "llama", count, 50);
      results.push({
        streams: count,
        firstToken: toPercentiles(through.firstMs),
        directFirstToken: toPercentiles(direct.firstMs),
        broken: through.broken,
      });
    }
    return results;
  });
}

async function residentMb(entry: testing.EntryProcess): Promise<number> {
  const { values } = await readMetrics(entry);
  return (values.get("resident_bytes") ?? 0) / BYTES_PER_MB;
}

function renderPercentiles(name: string, values: Percentiles): string {
  const { p50Ms, p95Ms, p99Ms } = values;
  const cells = [p50Ms, p95Ms, p99Ms].map((value) => value.toFixed(2));
  return `| ${name} | ${cells.join(" | ")} |`;
}

/** Renders the result as tables. */
export function renderPath(result: PathResult): string {
  const { direct, throughEntry } = result;
  const added: Percentiles = {
    p50Ms: throughEntry.p50Ms - direct.p50Ms,
    p95Ms: throughEntry.p95Ms - direct.p95Ms,
    p99Ms: throughEntry.p99Ms - direct.p99Ms,
  };
  const ratio = (throughEntry.p50Ms / direct.p50Ms).toFixed(2);
  return [
    "| one-token completion | p50 ms | p95 ms | p99 ms |",
    "|---|---|---|---|",
    renderPercentiles("direct to the engine", direct),
    renderPercentiles("through an entry", throughEntry),
    renderPercentiles("added", added),
    "",
    `ratio at p50 ${ratio}`,
    `requests/s at saturation: entry ${result.requestsPerS.toFixed(0)}, ` +
    `direct ${result.directRequestsPerS.toFixed(0)}`,
    `streamed tokens/s: entry ${result.tokensPerS.toFixed(0)}, ` +
    `direct ${result.directTokensPerS.toFixed(0)}`,
    `resident MB: idle ${result.idleMb.toFixed(0)}, ` +
    `loaded ${result.loadedMb.toFixed(0)}`,
    "",
    "| streams at once, first token after | p50 ms | p95 ms | p99 ms |",
    "|---|---|---|---|",
    ...result.streams.flatMap((line) => [
      renderPercentiles(`${line.streams} direct`, line.directFirstToken),
      renderPercentiles(
        `${line.streams} through an entry (${line.broken} broken)`,
        line.firstToken,
      ),
    ]),
  ].join("\n");
}
