/** A model engine that answers with text known from the request. */
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

const RESOLVED_MAX = 1_024;
const TOKENS_DEFAULT = 8;

/** How a fake engine behaves. */
export interface FakeEngineOptions extends FakeEngineSizes {
  readonly upstreamId: string;
  readonly slots: number;
  readonly waitingMax: number;
  readonly firstTokenMs: number;
  readonly tokenMs: number;
  readonly honoursFencing: boolean;
  /** Where load durations come from; loads take `loadMs` without one. */
  readonly weightStoreOrigin?: string;
  readonly loadMs: number;
  /** How late load reports are, in milliseconds. */
  readonly reportLagMs: number;
  /** Whether answers carry the load of that moment. */
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

interface Running {
  readonly attemptId: string;
  readonly body: CompletionBody;
  readonly text: string;
  readonly count: number;
}

/**
 * Faults: those of every fake, and `dropOrder`, `lateOrder` (by `delayMs`),
 * `doubleOrder`, `cutStream`, `foreignChunk`, `doubleChunk`, `swapChunks`,
 * `foreignAnswer`, `falseDone`, `slowTokens`, `dropResolved`.
 */
export class FakeEngine extends FakeServer {
  readonly options: FakeEngineOptions;
  memory: FakeEngineMemory;
  incarnation = randomUUID();
  role = "mixed";
  leaving = false;
  leavingSinceMs = 0;
  lateWorkMs = 0;
  cancelled = 0;
  completed = 0;
  /** Runs by attempt id. */
  readonly attempts = new Map<string, number>();
  /** Prompts that were answered whole without a stream. */
  readonly completedPrompts: string[] = [];
  orders: Order[] = [];
  loads = 0;
  unloads = 0;
  #queue: FakeEngineQueue;
  readonly #inProgress = new Map<string, number>();
  #sequence = 0;
  #highestFencing = 0;
  #resolved: { transmissionId: string; state: string }[] = [];
  #load = { running: 0, waiting: 0 };
  #loadReadAtMs = 0;

  constructor(options: FakeEngineOptions) {
    super();
    this.options = options;
    this.memory = new FakeEngineMemory(options);
    this.#queue = new FakeEngineQueue(options.slots);
    this.app.get("/status", (c) => c.json(this.report()));
    this.app.post("/orders", (c) => this.#takeOrder(c));
    this.app.post("/leave", (c) => {
      this.leave();
      return c.json({});
    });
    this.app.get("/counts", (c) => c.json(this.counts()));
    this.app.get("/attempts", (c) => c.json(Object.fromEntries(this.attempts)));
    this.app.post("/v1/chat/completions", (c) => this.#complete(c));
  }

  /** Begins to leave: reports it, and still runs what it is sent. */
  leave(): void {
    this.leaving = true;
    this.leavingSinceMs = Date.now();
  }

  /** Comes back as a new incarnation with nothing loaded. */
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

  /** What tests check. */
  counts(): Record<string, number> {
    return {
      overcommits: this.memory.overcommits,
      peakBytes: this.memory.peakBytes,
      capacityBytes: this.options.capacityBytes,
      cancelled: this.cancelled,
      completed: this.completed,
      attempts: this.attempts.size,
      running: this.#queue.running,
      waiting: this.#queue.waiting,
      loads: this.loads,
      unloads: this.unloads,
      lateWorkMs: this.lateWorkMs,
    };
  }

  /** The engine's own report. */
  report(): Record<string, unknown> {
    this.#refreshLoad();
    return {
      upstreamId: this.options.upstreamId,
      incarnation: this.incarnation,
      sequence: ++this.#sequence,
      role: this.role,
      capacityBytes: this.options.capacityBytes,
      kvReserveBytes: this.options.kvReserveBytes,
      roleOverheadBytes: this.options.roleOverheadBytes,
      residents: [...this.memory.artifacts]
        .filter(([, held]) => held.ready)
        .map(([artifactId, { weightBytes }]) => ({ artifactId, weightBytes })),
      resolved: this.#resolved,
      running: this.#load.running,
      waiting: this.#load.waiting,
      slots: this.options.slots,
      firstTokenMs: this.options.firstTokenMs,
      tokenMs: this.options.tokenMs,
      leaving: this.leaving,
    };
  }

  #refreshLoad(): void {
    if (Date.now() - this.#loadReadAtMs < this.options.reportLagMs) return;
    this.#loadReadAtMs = Date.now();
    this.#load = { running: this.#queue.running, waiting: this.#queue.waiting };
  }

  async #takeOrder(c: Context<FakeBindings>): Promise<Response> {
    const order = await c.req.json<Order>();
    this.orders.push(order);
    const text = `${order.kind} ${order.artifactId}`;
    if (this.faults.consume("dropOrder", text)) return c.json({}, 202);
    const late = this.faults.consume("lateOrder", text);
    const twice = this.faults.consume("doubleOrder", text);
    if (late) this.#applyLater(order, late.delayMs);
    else this.apply(order);
    if (twice) this.#applyLater(order, twice.delayMs);
    return c.json({}, 202);
  }

  #applyLater(order: Order, delayMs = 1_000): void {
    const { incarnation } = this;
    setTimeout(() => {
      if (this.incarnation === incarnation) this.apply(order);
    }, delayMs).unref();
  }

  /** Carries out one order, as often as it arrives. */
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
    }).then((answer) => answer.text()).catch(() => undefined);
  }

  /** Frees the bytes once the artifact's running requests have ended. */
  async #applyUnload(order: Order): Promise<void> {
    const artifactId = order.artifactId ?? "";
    const memory = this.memory;
    this.unloads++;
    const held = memory.artifacts.get(artifactId);
    if (held) held.ready = false;
    while ((this.#inProgress.get(artifactId) ?? 0) > 0) await delay(5);
    if (memory.artifacts.get(artifactId) === held) memory.release(artifactId);
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
    if (this.#queue.waiting >= this.options.waitingMax) {
      return c.text("full", 429);
    }
    this.#noteRun(attemptId);
    const last = body.messages.at(-1)?.content;
    const text = typeof last === "string" ? last : JSON.stringify(last);
    const count = body.max_tokens ?? TOKENS_DEFAULT;
    return this.#run(c, { attemptId, body, text, count });
  }

  #noteRun(attemptId: string): void {
    this.attempts.set(attemptId, (this.attempts.get(attemptId) ?? 0) + 1);
    if (!this.leaving) return;
    const sinceMs = Date.now() - this.leavingSinceMs;
    this.lateWorkMs = Math.max(this.lateWorkMs, sinceMs);
  }

  async #run(c: Context<FakeBindings>, run: Running): Promise<Response> {
    const outgoing = c.env.outgoing;
    let gone = false;
    outgoing.on("close", () => gone = !outgoing.writableFinished);
    const priority = Number(c.req.header("x-priority") ?? 0);
    this.#addInProgress(run.body.model, 1);
    const release = await this.#queue.enter(priority);
    try {
      await delay(this.options.firstTokenMs);
      if (run.body.stream) {
        await this.#stream(c, run, () => gone);
        return RESPONSE_ALREADY_SENT;
      }
      await delay(this.options.tokenMs * run.count);
      if (gone) this.cancelled++;
      else this.completed++;
      this.completedPrompts.push(run.text);
      for (const [name, value] of Object.entries(this.#loadHeaders())) {
        c.header(name, value);
      }
      return c.json(this.#wholeAnswer(run));
    } finally {
      release();
      this.#addInProgress(run.body.model, -1);
    }
  }

  #loadHeaders(): Record<string, string> {
    if (!this.options.tellsLoad) return {};
    return {
      "x-engine-running": String(this.#queue.running),
      "x-engine-waiting": String(this.#queue.waiting),
    };
  }

  #addInProgress(artifactId: string, change: number): void {
    const count = this.#inProgress.get(artifactId) ?? 0;
    this.#inProgress.set(artifactId, count + change);
  }

  #wholeAnswer(run: Running): object {
    const foreign = this.faults.consume("foreignAnswer", run.text);
    const words = Array.from(
      { length: run.count },
      (_, index) => expectedToken(run.body.model, run.text, index),
    );
    return {
      id: foreign ? "chatcmpl-someone-else" : `chatcmpl-${run.attemptId}`,
      object: "chat.completion",
      created: Math.floor(Date.now() / 1_000),
      model: run.body.model,
      choices: [{
        index: 0,
        message: { role: "assistant", content: words.join("") },
        finish_reason: "stop",
      }],
      usage: {
        prompt_tokens: 1,
        completion_tokens: run.count,
        total_tokens: run.count + 1,
      },
    };
  }

  async #stream(
    c: Context<FakeBindings>,
    run: Running,
    isGone: () => boolean,
  ): Promise<void> {
    const outgoing = c.env.outgoing;
    const from = run.body.resume?.events ?? 0;
    outgoing.writeHead(200, {
      "content-type": "text/event-stream",
      "x-request-id": run.attemptId,
      ...(from > 0 ? { "x-resumed-after": String(from) } : {}),
      ...this.#loadHeaders(),
    });
    const slow = this.faults.consume("slowTokens", run.text);
    const tokenMs = slow?.delayMs ?? this.options.tokenMs;
    const cutAt = this.faults.consume("cutStream", run.text)
      ? Math.floor(run.count / 2)
      : Infinity;
    const falseDone = this.faults.consume("falseDone", run.text);
    const swap = this.faults.consume("swapChunks", run.text);
    const write = (index: number, id = `chatcmpl-${run.attemptId}`) =>
      outgoing.write(`id: ${index}\ndata: ${this.#chunk(run, index, id)}\n\n`);
    for (let index = from; index < run.count; index++) {
      if (isGone()) {
        this.cancelled++;
        return;
      }
      if (index >= cutAt) {
        if (falseDone) outgoing.end("data: [DONE]\n\n");
        else outgoing.destroy();
        return;
      }
      if (this.faults.consume("foreignChunk", run.text)) {
        write(index, "chatcmpl-x");
      }
      if (swap && index === 0 && run.count > 1) {
        write(1);
        write(0);
        index = 1;
      } else {
        write(index);
      }
      if (this.faults.consume("doubleChunk", run.text)) write(index);
      if (tokenMs > 0) await delay(tokenMs);
    }
    this.completed++;
    outgoing.end("data: [DONE]\n\n");
  }

  #chunk(run: Running, index: number, id: string): string {
    const last = index === run.count - 1;
    const isOwn = id === `chatcmpl-${run.attemptId}`;
    const content = isOwn
      ? expectedToken(run.body.model, run.text, index)
      : "someone-else ";
    return JSON.stringify({
      id,
      object: "chat.completion.chunk",
      created: 0,
      model: run.body.model,
      choices: [{
        index: 0,
        delta: { content },
        finish_reason: last ? "stop" : null,
      }],
    });
  }
}
