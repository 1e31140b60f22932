/** Fake of a model engine: completions, orders and status reports. */
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import type { Context } from "hono";
import { expectedToken } from "./fake_completions.ts";
import {
  FakeEngineMemory,
  type FakeEngineSizes,
} from "./fake_engine_memory.ts";
import { FakeEngineQueue } from "./fake_engine_queue.ts";
import { type FakeBindings, FakeServer } from "./fake_server.ts";

/** Resolved orders that reports keep. */
const RESOLVED_MAX = 1_024;
const TOKENS_DEFAULT = 8;

/** Behaviour of a fake engine; also its command-line options. */
export interface FakeEngineOptions extends FakeEngineSizes {
  readonly upstreamId: string;
  readonly slots: number;
  /** Queued requests beyond which further ones are rejected. */
  readonly waitingMax: number;
  readonly firstTokenMs: number;
  readonly tokenMs: number;
  /** Whether orders with an outdated fencing token are refused. */
  readonly honoursFencing: boolean;
  /** Weight store that sets the load durations; without it `loadMs` applies. */
  readonly weightStoreOrigin?: string;
  readonly loadMs: number;
  /** Minimum age of the reported load before it is sampled again, in ms. */
  readonly reportLagMs: number;
  /** Whether responses include the current load in headers. */
  readonly tellsLoad?: boolean;
}

interface Order {
  transmissionId: string;
  fencing: number;
  kind: "load" | "unload" | "role";
  artifactId?: string;
  weightBytes?: number;
  role?: string;
}

interface CompletionBody {
  model: string;
  messages: { content: unknown }[];
  max_tokens?: number;
  stream?: boolean;
  resume?: { events: number };
}

interface CompletionRun {
  readonly attemptId: string;
  readonly body: CompletionBody;
  readonly promptText: string;
  readonly tokenCount: number;
}

/**
 * A model engine. Faults of orders besides those of `FakeServer`: `dropOrder`,
 * `lateOrder` (applied `delayMs` late), `doubleOrder` (applied again after
 * `delayMs`), `dropResolved` (omitted from reports). Faults of completions:
 * `cutStream` (closed halfway), `falseDone` (a cut stream ends with the end
 * marker), `foreignChunk` and `foreignAnswer` (id of another completion),
 * `doubleChunk`, `swapChunks`, `slowTokens` (`delayMs` per token).
 */
export class FakeEngine extends FakeServer {
  readonly options: FakeEngineOptions;
  memory: FakeEngineMemory;
  incarnation = randomUUID();
  role = "mixed";
  /** Version of its software, in reports; absent if undefined. */
  softwareVersion: string | undefined;
  leaving = false;
  leavingSinceMs = 0;
  /** Longest time after `leave` at which a request still started, in ms. */
  lateWorkMs = 0;
  cancelled = 0;
  completed = 0;
  /** Number of runs by attempt id. */
  readonly attempts = new Map<string, number>();
  /** Prompts of non-streamed completions. */
  readonly completedPrompts: string[] = [];
  orders: Order[] = [];
  loads = 0;
  unloads = 0;
  #queue: FakeEngineQueue;
  readonly #inFlight = new Map<string, number>();
  #sequence = 0;
  #highestFencing = 0;
  #resolved: { transmissionId: string; state: string }[] = [];
  #reportedLoad = { running: 0, waiting: 0 };
  #loadSampledAtMs = 0;

  constructor(options: FakeEngineOptions) {
    super();
    this.options = options;
    this.memory = new FakeEngineMemory(options);
    this.#queue = new FakeEngineQueue(options.slots);
    this.app.get("/status", (c) => c.json(this.report()));
    this.app.post("/orders", (c) => this.#receiveOrder(c));
    this.app.post("/leave", (c) => {
      this.leave();
      return c.json({});
    });
    this.app.get("/counts", (c) => c.json(this.counts()));
    this.app.get("/attempts", (c) => c.json(Object.fromEntries(this.attempts)));
    this.app.post("/v1/chat/completions", (c) => this.#complete(c));
  }

  /** Reports that the engine is leaving; requests that arrive still run. */
  leave(): void {
    this.leaving = true;
    this.leavingSinceMs = Date.now();
  }

  /** Simulates a restart: a new incarnation with nothing loaded. */
  restart(): void {
    const peakBytes = this.memory.peakBytes;
    const overcommits = this.memory.overcommits;
    this.memory = new FakeEngineMemory(this.options);
    this.memory.peakBytes = peakBytes;
    this.memory.overcommits = overcommits;
    this.incarnation = randomUUID();
    this.#resolved = [];
    this.#highestFencing = 0;
  }

  /** Counters for tests, as served by `/counts`. */
  counts(): Record<string, number> {
    return {
      overcommits: this.memory.overcommits,
      peakBytes: this.memory.peakBytes,
      capacityBytes: this.options.capacityBytes,
      cancelled: this.cancelled,
      completed: this.completed,
      attempts: this.attempts.size,
      running: this.#queue.runningCount,
      waiting: this.#queue.queuedCount,
      loads: this.loads,
      unloads: this.unloads,
      lateWorkMs: this.lateWorkMs,
    };
  }

  /** The status report, as served by `/status`. */
  report(): Record<string, unknown> {
    this.#sampleLoad();
    return {
      upstreamId: this.options.upstreamId,
      incarnation: this.incarnation,
      sequence: ++this.#sequence,
      role: this.role,
      capacityBytes: this.options.capacityBytes,
      kvReserveBytes: this.options.kvReserveBytes,
      roleOverheadBytes: this.options.roleOverheadBytes,
      residents: [...this.memory.artifacts]
        .filter(([, artifact]) => artifact.ready)
        .map(([artifactId, { weightBytes }]) => ({ artifactId, weightBytes })),
      resolved: this.#resolved,
      running: this.#reportedLoad.running,
      waiting: this.#reportedLoad.waiting,
      slots: this.options.slots,
      firstTokenMs: this.options.firstTokenMs,
      tokenMs: this.options.tokenMs,
      leaving: this.leaving,
      ...(this.softwareVersion === undefined
        ? {}
        : { softwareVersion: this.softwareVersion }),
    };
  }

  #sampleLoad(): void {
    if (Date.now() - this.#loadSampledAtMs < this.options.reportLagMs) return;
    this.#loadSampledAtMs = Date.now();
    this.#reportedLoad = {
      running: this.#queue.runningCount,
      waiting: this.#queue.queuedCount,
    };
  }

  async #receiveOrder(c: Context<FakeBindings>): Promise<Response> {
    const order = await c.req.json<Order>();
    this.orders.push(order);
    const text = `${order.kind} ${order.artifactId}`;
    if (this.faults.consume("dropOrder", text)) return c.json({}, 202);
    const lateOrder = this.faults.consume("lateOrder", text);
    const doubleOrder = this.faults.consume("doubleOrder", text);
    if (lateOrder) this.#applyLater(order, lateOrder.delayMs);
    else this.apply(order);
    if (doubleOrder) this.#applyLater(order, doubleOrder.delayMs);
    return c.json({}, 202);
  }

  #applyLater(order: Order, delayMs = 1_000): void {
    const { incarnation } = this;
    setTimeout(() => {
      if (this.incarnation === incarnation) this.apply(order);
    }, delayMs).unref();
  }

  /**
   * Applies an order. Duplicates are not detected: a load that arrives again
   * after the unload of its artifact loads the artifact again.
   */
  apply(order: Order): void {
    if (this.options.honoursFencing) {
      if (order.fencing < this.#highestFencing) {
        this.#resolve(order, "refused");
        return;
      }
      this.#highestFencing = order.fencing;
    }
    if (order.kind === "load") void this.#applyLoad(order);
    if (order.kind === "unload") void this.#applyUnload(order);
    if (order.kind === "role") {
      this.role = order.role ?? this.role;
      this.#resolve(order, "applied");
    }
  }

  async #applyLoad(order: Order): Promise<void> {
    const artifactId = order.artifactId ?? "";
    const memory = this.memory;
    if (!memory.reserve(artifactId, order.weightBytes ?? 0)) {
      if (memory.isReady(artifactId)) this.#resolve(order, "applied");
      return;
    }
    this.loads++;
    await this.#fetchWeights(artifactId);
    if (memory !== this.memory) return;
    memory.markReady(artifactId);
    this.#resolve(order, "applied");
  }

  async #fetchWeights(artifactId: string): Promise<void> {
    const origin = this.options.weightStoreOrigin;
    if (origin === undefined) {
      await delay(this.options.loadMs);
      return;
    }
    const adapter = artifactId.startsWith("adapter-");
    await fetch(`${origin}/v1/loads`, {
      method: "POST",
      body: JSON.stringify({ adapter }),
    }).then((response) => response.text()).catch(() => undefined);
  }

  /** Frees the bytes once the artifact's in-flight requests have ended. */
  async #applyUnload(order: Order): Promise<void> {
    const artifactId = order.artifactId ?? "";
    const memory = this.memory;
    this.unloads++;
    const artifact = memory.artifacts.get(artifactId);
    if (artifact) artifact.ready = false;
    while ((this.#inFlight.get(artifactId) ?? 0) > 0) await delay(5);
    if (memory.artifacts.get(artifactId) === artifact) {
      memory.release(artifactId);
    }
    if (memory === this.memory) this.#resolve(order, "applied");
  }

  #resolve(order: Order, state: string): void {
    if (this.faults.consume("dropResolved")) return;
    this.#resolved.push({ transmissionId: order.transmissionId, state });
    if (this.#resolved.length > RESOLVED_MAX) this.#resolved.shift();
  }

  async #complete(c: Context<FakeBindings>): Promise<Response> {
    const attemptId = c.req.header("x-request-id") ?? randomUUID();
    c.header("x-request-id", attemptId);
    const body = await c.req.json<CompletionBody>();
    if (!this.memory.isReady(body.model)) return c.text("not resident", 404);
    if (this.#queue.queuedCount >= this.options.waitingMax) {
      return c.text("full", 429);
    }
    this.#recordRun(attemptId);
    const lastContent = body.messages.at(-1)?.content;
    const promptText = typeof lastContent === "string"
      ? lastContent
      : JSON.stringify(lastContent);
    const tokenCount = body.max_tokens ?? TOKENS_DEFAULT;
    return this.#run(c, { attemptId, body, promptText, tokenCount });
  }

  #recordRun(attemptId: string): void {
    this.attempts.set(attemptId, (this.attempts.get(attemptId) ?? 0) + 1);
    if (!this.leaving) return;
    const sinceMs = Date.now() - this.leavingSinceMs;
    this.lateWorkMs = Math.max(this.lateWorkMs, sinceMs);
  }

  async #run(c: Context<FakeBindings>, run: CompletionRun): Promise<Response> {
    const outgoing = c.env.outgoing;
    let isDisconnected = false;
    outgoing.on("close", () => isDisconnected = !outgoing.writableFinished);
    const priority = Number(c.req.header("x-priority") ?? 0);
    this.#addInFlight(run.body.model, 1);
    const releaseSlot = await this.#queue.acquireSlot(priority);
    try {
      await delay(this.options.firstTokenMs);
      if (run.body.stream) {
        await this.#stream(c, run, () => isDisconnected);
        return RESPONSE_ALREADY_SENT;
      }
      await delay(this.options.tokenMs * run.tokenCount);
      if (isDisconnected) this.cancelled++;
      else this.completed++;
      this.completedPrompts.push(run.promptText);
      for (const [name, value] of Object.entries(this.#loadHeaders())) {
        c.header(name, value);
      }
      return c.json(this.#buildCompletion(run));
    } finally {
      releaseSlot();
      this.#addInFlight(run.body.model, -1);
    }
  }

  #loadHeaders(): Record<string, string> {
    if (!this.options.tellsLoad) return {};
    return {
      "x-engine-running": String(this.#queue.runningCount),
      "x-engine-waiting": String(this.#queue.queuedCount),
    };
  }

  #addInFlight(artifactId: string, change: number): void {
    const count = this.#inFlight.get(artifactId) ?? 0;
    this.#inFlight.set(artifactId, count + change);
  }

  #buildCompletion(run: CompletionRun): object {
    const foreign = this.faults.consume("foreignAnswer", run.promptText);
    const tokens = Array.from(
      { length: run.tokenCount },
      (_, index) => expectedToken(run.body.model, run.promptText, index),
    );
    return {
      id: foreign ? "chatcmpl-someone-else" : `chatcmpl-${run.attemptId}`,
      object: "chat.completion",
      created: Math.floor(Date.now() / 1_000),
      model: run.body.model,
      choices: [{
        index: 0,
        message: { role: "assistant", content: tokens.join("") },
        finish_reason: "stop",
      }],
      usage: {
        prompt_tokens: 1,
        completion_tokens: run.tokenCount,
        total_tokens: run.tokenCount + 1,
      },
    };
  }

  async #stream(
    c: Context<FakeBindings>,
    run: CompletionRun,
    isDisconnected: () => boolean,
  ): Promise<void> {
    const outgoing = c.env.outgoing;
    const firstIndex = run.body.resume?.events ?? 0;
    outgoing.writeHead(200, {
      "content-type": "text/event-stream",
      "x-request-id": run.attemptId,
      ...(firstIndex > 0 ? { "x-resumed-after": String(firstIndex) } : {}),
      ...this.#loadHeaders(),
    });
    const slowTokens = this.faults.consume("slowTokens", run.promptText);
    const tokenMs = slowTokens?.delayMs ?? this.options.tokenMs;
    const cutIndex = this.faults.consume("cutStream", run.promptText)
      ? Math.floor(run.tokenCount / 2)
      : Infinity;
    const falseDone = this.faults.consume("falseDone", run.promptText);
    const swap = this.faults.consume("swapChunks", run.promptText);
    const write = (index: number, id = `chatcmpl-${run.attemptId}`) =>
      outgoing.write(
        `id: ${index}\ndata: ${this.#buildChunk(run, index, id)}\n\n`,
      );
    for (let index = firstIndex; index < run.tokenCount; index++) {
      if (isDisconnected()) {
        this.cancelled++;
        return;
      }
      if (index >= cutIndex) {
        if (falseDone) outgoing.end("data: [DONE]\n\n");
        else outgoing.destroy();
        return;
      }
      if (this.faults.consume("foreignChunk", run.promptText)) {
        write(index, "chatcmpl-x");
      }
      if (swap && index === 0 && run.tokenCount > 1) {
        write(1);
        write(0);
        index = 1;
      } else {
        write(index);
      }
      if (this.faults.consume("doubleChunk", run.promptText)) write(index);
      if (tokenMs > 0) await delay(tokenMs);
    }
    this.completed++;
    outgoing.end("data: [DONE]\n\n");
  }

  #buildChunk(run: CompletionRun, index: number, id: string): string {
    const isLast = index === run.tokenCount - 1;
    const isOwn = id === `chatcmpl-${run.attemptId}`;
    const content = isOwn
      ? expectedToken(run.body.model, run.promptText, index)
      : "someone-else ";
    return JSON.stringify({
      id,
      object: "chat.completion.chunk",
      created: 0,
      model: run.body.model,
      choices: [{
        index: 0,
        delta: { content },
        finish_reason: isLast ? "stop" : null,
      }],
    });
  }
}
