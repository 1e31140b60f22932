/**
 * Many nodes that send to shared engines, with sums of each other's load that
 * arrive late. Uses the program's own choice, states and rules.
 */
import * as admission from "../../admission/mod.ts";
import * as core from "../../core/mod.ts";
import type * as fleet from "../../fleet/mod.ts";
import * as testing from "../../testing/mod.ts";
import * as dispatch from "../mod.ts";
import { SimEvents, SimRandom } from "./sim_clock.ts";
import type { SimArrival, SimOptions, SimServed } from "./sim_types.ts";
import { SimEngine, type SimRun } from "./sim_engine.ts";

const REFRESH_MS = 100;
const SNAPSHOT_MS = 10;
const SNAPSHOTS_MAX = 130;
/** Node whose digest is older is left out of the sums. */
const DIGEST_TTL_MS = 1_000;
const NOBODY: ReadonlySet<string> = new Set();
const MEMBER_TIMEOUT_MS = 1_500;
const PATIENCE_MS = 6_000;
const RETRY_SENDS_MAX = 6;
const DOWN_MS = 2_000;
const EVENT_GAP_MS = 300;
const FIELDS = 5;

interface Waiting {
  readonly arrival: SimArrival;
  sends: number;
}

/** One node: its states of the engines, its queue and its own load. */
export class SimNode {
  readonly name: string;
  readonly engines: dispatch.UpstreamState[] = [];
  readonly waiting = new Set<Waiting>();
  readonly use: Float32Array;
  cutSinceMs: number | undefined;
  rule!: admission.AdmissionRule;
  spread: dispatch.EngineSpread | undefined;
  constructor(name: string, engines: number) {
    this.name = name;
    this.use = new Float32Array(engines * FIELDS);
  }
}

export class SimFleet {
  readonly options: SimOptions;
  readonly engines: SimEngine[] = [];
  readonly nodes: SimNode[] = [];
  readonly served: SimServed[] = [];
  readonly random: SimRandom;
  nowMs = 0;
  failed = 0;
  resent = 0;
  /** Free tokens of engines for which requests wait, and their samples. */
  idleTokens = 0;
  idleSamples = 0;
  readonly #spec: fleet.EngineSpec;
  readonly #stepTimes = new dispatch.StepTimeEstimator();
  readonly #names: readonly string[];
  readonly #events = new SimEvents();
  readonly #snapshots: {
    readonly all: Float32Array;
    readonly own: readonly Float32Array[];
    readonly waiting: readonly Map<string, number>[];
    readonly allWaiting: Map<string, number>;
    readonly claims: readonly admission.TicketedClaim[][];
  }[] = [];
  readonly modelsOf: core.ModelName[][] = [];

  constructor(options: SimOptions) {
    this.options = options;
    this.#names = Array.from({ length: options.nodes }, (_, n) => `n${n}`);
    this.random = new SimRandom(options.seed);
    this.#spec = {
      slots: options.slots,
      kvCacheTokens: options.capacityTokens,
      tokensPerEvent: 3,
      weightMemoryMb: 1,
      adapterSlots: 1,
      loadsPerS: 1,
      models: new Map(),
    };
    for (let e = 0; e < options.engines; e++) {
      this.engines.push(new SimEngine(options.capacityTokens, options.slots));
      this.modelsOf.push(Array.from(
        { length: options.modelsPerEngine },
        (_, m) => toModel((e * options.modelsPerEngine + m) % options.models),
      ));
    }
    for (let n = 0; n < options.nodes; n++) {
      const node = new SimNode(`n${n}`, options.engines);
      for (let e = 0; e < options.engines; e++) {
        node.engines.push(this.#makeState(e));
      }
      node.rule = options.makeRule(node.name, this);
      node.spread = options.makeSpread?.(node.name);
      this.nodes.push(node);
    }
  }

  #makeState(e: number): dispatch.UpstreamState {
    const { slots, capacityTokens } = this.options;
    return new dispatch.UpstreamState(
      testing.makeUpstreamRecord({
        id: core.brandId<core.UpstreamId>(`e${e}`),
        slots,
        models: this.modelsOf[e]!.map((model) => ({ model, adapters: [] })),
      }),
      capacityTokens,
    );
  }

  /** Runs something at a time of the simulation. */
  at(atMs: number, run: () => void): void {
    this.#events.add(atMs, run);
  }

  /** Runs all arrivals to the end of the simulated time. */
  run(arrivals: readonly SimArrival[]): this {
    for (const arrival of arrivals) {
      this.at(arrival.atMs, () => this.#arrive(arrival));
    }
    this.at(0, () => this.#snapshot());
    for (const node of this.nodes) {
      this.at(this.random.next() * REFRESH_MS, () => this.#refresh(node));
    }
    for (;;) {
      const event = this.#events.next();
      if (!event || event.atMs > this.options.durationMs) return this;
      this.nowMs = event.atMs;
      event.run();
    }
  }

  #snapshot(): void {
    const claims = this.engines.map((): admission.TicketedClaim[] => []);
    const own = this.nodes.map((node) => {
      const use = node.use.slice();
      const isLost = node.cutSinceMs !== undefined;
      node.engines.forEach(({ memory }, e) => {
        const claim = memory.claim(this.nowMs);
        if (!claim || isLost) return;
        use[e * FIELDS + 4] = claim.tokens;
        claims[e]!.push(claim);
      });
      return use;
    });
    const all = new Float32Array(own[0]!.length);
    this.nodes.forEach((node, n) => {
      const isLost = node.cutSinceMs !== undefined &&
        this.nowMs - node.cutSinceMs > DIGEST_TTL_MS;
      if (isLost) return;
      const use = own[n]!;
      for (let i = 0; i < all.length; i++) all[i]! += use[i]!;
    });
    const waiting = this.nodes.map((node) => countModels(node.waiting));
    for (const each of claims) {
      each.sort((a, b) => a.ticket - b.ticket);
      each.splice(admission.CLAIMS_TOLD_MAX);
    }
    const allWaiting = new Map<string, number>();
    for (const counts of waiting) {
      for (const [model, count] of counts) {
        allWaiting.set(model, (allWaiting.get(model) ?? 0) + count);
      }
    }
    this.#snapshots.push({ all, own, waiting, allWaiting, claims });
    if (this.#snapshots.length > SNAPSHOTS_MAX) this.#snapshots.shift();
    this.#sampleIdle();
    this.at(this.nowMs + SNAPSHOT_MS, () => this.#snapshot());
  }

  #sampleIdle(): void {
    const wanted = new Set<string>();
    for (const { waiting } of this.nodes) {
      for (const { arrival } of waiting) wanted.add(arrival.model);
    }
    this.engines.forEach((engine, e) => {
      if (!this.modelsOf[e]!.some((model) => wanted.has(model))) return;
      const isBusy = engine.inFlight >= engine.slots ||
        engine.isPrefilling(this.nowMs) || engine.isDown(this.nowMs);
      if (isBusy) return;
      this.idleTokens += Math.max(0, engine.capacityTokens - engine.heldTokens);
      this.idleSamples++;
    });
  }

  #refresh(node: SimNode): void {
    const { ageMinMs, ageMaxMs } = this.options;
    this.at(
      this.nowMs + REFRESH_MS * (0.5 + this.random.next()),
      () => this.#refresh(node),
    );
    const isLost = this.random.next() < (this.options.lossShare ?? 0);
    if (node.cutSinceMs === undefined && !isLost) {
      const ageMs = ageMinMs + this.random.next() * (ageMaxMs - ageMinMs);
      const back = Math.round(ageMs / SNAPSHOT_MS);
      const at = Math.max(0, this.#snapshots.length - 1 - back);
      this.#applyViewAt(node, at, ageMs);
    } else node.engines.forEach((each) => each.expirePeerLoad(this.nowMs));
    this.retryWaiting(node);
  }

  #applyViewAt(node: SimNode, at: number, ageMs: number): void {
    const n = this.nodes.indexOf(node);
    const { all, own, waiting, allWaiting, claims } = this.#snapshots[at]!;
    const before = this.#snapshots[Math.max(0, at - 1_000 / SNAPSHOT_MS)]!;
    const mine = own[n]!;
    const queued = (model: string) =>
      (allWaiting.get(model) ?? 0) - (waiting[n]!.get(model) ?? 0);
    node.engines.forEach((engine, e) => {
      const i = e * FIELDS;
      const other = (field: number) =>
        Math.max(0, all[i + field]! - mine[i + field]!);
      const sends = (other(3)) -
        Math.max(0, before.all[i + 3]! - before.own[n]![i + 3]!);
      let contenders = 0;
      for (const model of this.modelsOf[e]!) {
        contenders += queued(model) / this.enginesWith;
      }
      engine.setPeerLoad(
        {
          inFlight: other(0),
          tokens: other(1),
          prefillMs: other(2),
          recentSends: sends,
          contenders,
          claimedTokens: other(4),
          firstClaims: claims[e]!,
          ageMs,
        },
        false,
        this.nowMs,
      );
    });
  }

  /** The nodes as one of them sees them: who is cut off is lost to the rest. */
  viewNodes(node: string): admission.NodesView {
    if (!this.nodes.some((each) => each.cutSinceMs !== undefined)) {
      return { registered: this.#names, lost: NOBODY };
    }
    const isCut = (each: SimNode) =>
      each.cutSinceMs !== undefined &&
      this.nowMs - each.cutSinceMs > MEMBER_TIMEOUT_MS;
    const self = this.nodes.find(({ name }) => name === node);
    const lost = this.nodes
      .filter((each) => each !== self && (isCut(each) || (self && isCut(self))))
      .map(({ name }) => name);
    return { registered: this.#names, lost: new Set(lost) };
  }

  get enginesWith(): number {
    const { engines, modelsPerEngine, models } = this.options;
    return engines * modelsPerEngine / models;
  }

  #arrive(arrival: SimArrival): void {
    const node = this.nodes[arrival.node]!;
    const waiting = { arrival, sends: 0 };
    node.waiting.add(waiting);
    this.#trySend(node, waiting);
  }

  retryWaiting(node: SimNode): void {
    for (const waiting of node.waiting) this.#trySend(node, waiting);
  }

  #trySend(node: SimNode, waiting: Waiting): void {
    const { arrival } = waiting;
    if (this.nowMs - arrival.atMs > PATIENCE_MS) {
      node.waiting.delete(waiting);
      this.failed++;
      return;
    }
    const choice = dispatch.chooseEngine(node.engines, {
      request: waiting,
      model: arrival.model,
      promptTokens: arrival.promptTokens,
      outputTokensMax: arrival.outputTokensMax,
      outputTokensLikely: arrival.outputTokensLikely,
      promptParts: arrival.parts,
      eventGapMaxMs: EVENT_GAP_MS,
    }, {
      stepTimes: this.#stepTimes,
      spec: this.#spec,
      nowMs: this.nowMs,
      excluded: new Set(),
      admission: node.rule,
      ...(node.spread ? { spread: node.spread } : {}),
    });
    if (!choice) return;
    node.waiting.delete(waiting);
    this.#send(node, waiting, choice);
  }

  #send(
    node: SimNode,
    waiting: Waiting,
    { engine, prefillMs }: dispatch.EngineChoice,
  ): void {
    const { arrival } = waiting;
    const e = node.engines.indexOf(engine);
    const sentAtMs = this.nowMs;
    const reservedTokens = arrival.promptTokens + arrival.outputTokensLikely;
    const inFlight: dispatch.InFlightRequest = {
      modelKey: arrival.model,
      model: arrival.model,
      reservedTokens,
      outputTokensMax: arrival.outputTokensMax,
      prefillMs,
      sentAtMs,
      hasOutput: false,
    };
    const untrack = engine.trackRequest(inFlight);
    engine.prefixCache.recordPrompt(arrival.modelKey, arrival.parts);
    const use = node.use;
    const i = e * FIELDS;
    use[i]! += 1;
    use[i + 1]! += reservedTokens;
    use[i + 2]! += prefillMs;
    use[i + 3]! += 1;
    const markOutput = () => {
      if (inFlight.hasOutput) return;
      inFlight.hasOutput = true;
      use[i + 2]! -= prefillMs;
    };
    const release = () => {
      markOutput();
      untrack();
      use[i]! -= 1;
      use[i + 1]! -= reservedTokens;
    };
    const resend = () => {
      release();
      this.resent++;
      if (++waiting.sends >= RETRY_SENDS_MAX) this.failed++;
      else {
        node.waiting.add(waiting);
        this.at(this.nowMs + 1, () => this.retryWaiting(node));
      }
    };
    let isLost = false;
    const sim = this.engines[e]!;
    const run: SimRun = {
      work: arrival,
      firstAtMs: 0,
      endAtMs: 0,
      onLost: () => {
        isLost = true;
        resend();
      },
      onStart: () => {
        this.at(run.firstAtMs, () => !isLost && markOutput());
        this.at(run.endAtMs, () => {
          if (isLost) return;
          sim.end(run, this.nowMs);
          release();
          const firstMs = run.firstAtMs - arrival.atMs;
          const waitMs = sentAtMs - arrival.atMs;
          this.served.push({ arrival, waitMs, firstMs });
          this.retryWaiting(node);
        });
      },
    };
    this.at(this.nowMs + (this.options.sendDelayMs ?? 1), () => {
      const result = sim.offer(run, this.nowMs);
      if (result === "taken") {
        const isOver = sim.heldTokens > sim.capacityTokens;
        if (isOver && this.options.crashesOnOverrun) {
          sim.crash(this.nowMs, DOWN_MS);
        }
        return;
      }
      if (result === "down") engine.health.markUnreachable(this.nowMs);
      else engine.recordRejection(arrival.modelKey, false, this.nowMs);
      isLost = true;
      resend();
    });
  }
}

export function toModel(m: number): core.ModelName {
  return core.brandId<core.ModelName>(`m${m}`);
}

function countModels(waiting: Iterable<Waiting>): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { arrival: { model } } of waiting) {
    counts.set(model, (counts.get(model) ?? 0) + 1);
  }
  return counts;
}
