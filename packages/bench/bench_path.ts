/**
 * Benchmark `path`: the latency that an entry instance adds to a request, its
 * throughput and its memory, against direct calls to the engine.
 */
import { request } from "undici";
import * as core from "../core/mod.ts";
import * as testing from "../testing/mod.ts";
import * as table from "../table/mod.ts";
import { readMetrics } from "./bench_metrics.ts";
import { percentile } from "./bench_policies.ts";
import { SHIPPED_SETTINGS } from "./bench_settings.ts";
import { EngineProcess } from "./bench_engine.ts";

const SEQUENTIAL_CALLS = 600;
const WARM_UP_CALLS = 300;
const SATURATION_MS = 5_000;
const SATURATION_CALLERS = 64;
const STREAMS = 48;
const STREAM_TOKENS = 400;
const STREAM_COUNTS = [10, 100, 300, 1_000];
const BYTES_PER_MB = 1_000_000;

/** Three percentiles of a duration, in milliseconds. */
export interface Percentiles {
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
}

/** Measurements through an entry instance and directly at the engine. */
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
const artifactId = String(table.artifactIdOf(row));

function toPercentiles(values: readonly number[]): Percentiles {
  return {
    p50Ms: percentile(values, 0.5),
    p95Ms: percentile(values, 0.95),
    p99Ms: percentile(values, 0.99),
  };
}

async function measureDurationMs(
  operation: () => Promise<unknown>,
): Promise<number> {
  const startedAtMs = core.monotonicMs();
  await operation();
  return core.monotonicMs() - startedAtMs;
}

/** Requests a single token, so that the request path dominates the duration. */
async function completeOneToken(origin: string, model: string): Promise<void> {
  const response = await request(`${origin}/v1/chat/completions`, {
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
  await response.body.dump();
  if (response.statusCode !== 200) {
    throw new Error(`status ${response.statusCode}`);
  }
}

async function measureThroughput(
  origin: string,
  model: string,
): Promise<number> {
  const deadline = new core.Deadline(SATURATION_MS);
  let calls = 0;
  await Promise.all(
    Array.from({ length: SATURATION_CALLERS }, async () => {
      while (!deadline.isOver()) {
        await completeOneToken(origin, model);
        calls++;
      }
    }),
  );
  return calls / (SATURATION_MS / 1_000);
}

/**
 * Runs streams concurrently.
 *
 * @returns the time to first token of each stream, the rate of tokens over all
 *   streams, and the number of streams that did not complete.
 */
async function runStreams(
  origin: string,
  model: string,
  count: number,
  tokens: number,
): Promise<
  { firstTokenTimesMs: number[]; tokensPerS: number; broken: number }
> {
  const firstTokenTimesMs: number[] = [];
  let broken = 0;
  const startedAtMs = core.monotonicMs();
  await Promise.all(
    Array.from({ length: count }, async (_, n) => {
      const streamStartedAtMs = core.monotonicMs();
      let isFirst = true;
      const result = await testing.stream(
        origin,
        { model, prompt: `stream ${n}`, tokens },
        () => {
          if (isFirst) {
            firstTokenTimesMs.push(core.monotonicMs() - streamStartedAtMs);
          }
          isFirst = false;
        },
      );
      if (!result.isComplete) broken++;
    }),
  );
  const elapsedS = (core.monotonicMs() - startedAtMs) / 1_000;
  return {
    firstTokenTimesMs,
    tokensPerS: count * tokens / elapsedS,
    broken,
  };
}

/**
 * Measures one entry instance with one engine, each in a process of its own.
 * Overhead and throughput are measured with an engine that produces tokens
 * without delay, concurrent streams with one that takes 20 ms per token.
 */
export async function measurePath(): Promise<PathResult> {
  const fastEngine = await EngineProcess.start({
    slots: 2_000,
    waitingMax: 10_000,
    firstTokenMs: 0,
    tokenMs: 0,
  });
  const slowEngine = await EngineProcess.start({
    slots: 2_000,
    waitingMax: 10_000,
    firstTokenMs: 20,
    tokenMs: 20,
  });
  try {
    const overhead = await measureOverhead(fastEngine);
    const streamResults = await measureConcurrentStreams(slowEngine);
    return { ...overhead, streams: streamResults };
  } finally {
    await fastEngine.stop();
    await slowEngine.stop();
  }
}

async function withEntry<Result>(
  engine: EngineProcess,
  measure: (origin: string, entry: testing.EntryProcess) => Promise<Result>,
): Promise<Result> {
  const cluster = new testing.TestCluster({
    entries: 0,
    engines: 0,
    links: false,
    settings: SHIPPED_SETTINGS,
  });
  try {
    await cluster.start();
    engine.register(cluster.instanceList);
    const entry = await cluster.startEntry("entry-1");
    await cluster.waitUntilReady();
    await cluster.applyEdit([row]);
    const origin = entry.ready.callerAddress;
    await testing.waitUntil("the model answers", async () => {
      const response = await testing.complete(origin, {
        model: "llama",
        prompt: "x",
      });
      return response.status === 200;
    });
    return await measure(origin, entry);
  } finally {
    await cluster.stop();
  }
}

function measureOverhead(
  engine: EngineProcess,
): Promise<Omit<PathResult, "streams">> {
  return withEntry(engine, async (origin, entry) => {
    const idleMb = await residentMb(entry);
    for (let n = 0; n < WARM_UP_CALLS; n++) {
      await completeOneToken(engine.origin, artifactId);
      await completeOneToken(origin, "llama");
    }
    const direct: number[] = [];
    const viaEntry: number[] = [];
    for (let n = 0; n < SEQUENTIAL_CALLS; n++) {
      direct.push(
        await measureDurationMs(() =>
          completeOneToken(engine.origin, artifactId)
        ),
      );
      viaEntry.push(
        await measureDurationMs(() => completeOneToken(origin, "llama")),
      );
    }
    const directRequestsPerS = await measureThroughput(
      engine.origin,
      artifactId,
    );
    const requestsPerS = await measureThroughput(origin, "llama");
    const directStreams = await runStreams(
      engine.origin,
      artifactId,
      STREAMS,
      STREAM_TOKENS,
    );
    const entryStreams = await runStreams(
      origin,
      "llama",
      STREAMS,
      STREAM_TOKENS,
    );
    return {
      direct: toPercentiles(direct),
      throughEntry: toPercentiles(viaEntry),
      requestsPerS,
      directRequestsPerS,
      tokensPerS: entryStreams.tokensPerS,
      directTokensPerS: directStreams.tokensPerS,
      idleMb,
      loadedMb: await residentMb(entry),
    };
  });
}

function measureConcurrentStreams(
  engine: EngineProcess,
): Promise<PathResult["streams"]> {
  return withEntry(engine, async (origin) => {
    const results = [];
    for (const count of STREAM_COUNTS) {
      const direct = await runStreams(engine.origin, artifactId, count, 50);
      const viaEntry = await runStreams(origin, "llama", count, 50);
      results.push({
        streams: count,
        firstToken: toPercentiles(viaEntry.firstTokenTimesMs),
        directFirstToken: toPercentiles(direct.firstTokenTimesMs),
        broken: viaEntry.broken,
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

/** Renders the result as Markdown tables. */
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
    ...result.streams.flatMap((point) => [
      renderPercentiles(`${point.streams} direct`, point.directFirstToken),
      renderPercentiles(
        `${point.streams} through an entry (${point.broken} broken)`,
        point.firstToken,
      ),
    ]),
  ].join("\n");
}
