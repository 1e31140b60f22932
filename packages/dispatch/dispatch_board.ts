/** What each upstream has to do and holds, as far as this node knows. */
import type * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import { UpstreamHealth } from "./dispatch_health.ts";
import { PrefixMemory } from "./dispatch_prefixes.ts";

/** One request on its way to an upstream. */
export interface EngineWork {
  readonly weights: string;
  /** Undefined for services that run no models. */
  readonly model?: core.ModelName;
  readonly tokens: number;
  /** Tokens that it may generate; 0 if not known. */
  readonly outputTokensMax: number;
  readonly prefillMs: number;
  readonly sentAtMs: number;
  hasAnswer: boolean;
}

/** What the other nodes have on the way to an upstream. */
export interface OthersUse {
  readonly inFlight: number;
  readonly prefillMs: number;
  readonly tokens: number;
}

/** A model on an engine. */
export interface HeldModel {
  readonly isUsable: boolean;
  readonly adapters: ReadonlySet<string>;
  /** When a load is expected to end, on the monotonic clock. */
  readonly readyAtMs?: number;
}

const NO_USE: OthersUse = { inFlight: 0, prefillMs: 0, tokens: 0 };
/** Time after which what others told of their load is no longer used. */
const OTHERS_STALE_MS = 1_500;
/** Time for which an upstream's own word that it lacks a model holds. */
const ABSENT_FOR_MS = 400;
/** The same when it is merely full. */
const FULL_FOR_MS = 50;
/** Weight of one measured first event against the history. */
const SLOWNESS_WEIGHT = 0.15;
const SLOWNESS_MIN = 0.5;
const SLOWNESS_MAX = 8;

/** One incarnation of an upstream. */
export class EngineState {
  readonly health = new UpstreamHealth();
  readonly prefixes: PrefixMemory;
  record: fleet.UpstreamRecord;
  /** Orders of the holder, as it last told: kept for the next holder. */
  ordersTold:
    | { orderCount: number; lastOrderAtMs: number | undefined }
    | undefined;
  /** Whether its leaving has been logged. */
  isLeavingNoted = false;
  /** Measured against estimated time to the first event. */
  slowness = 1;
  readonly #mine = new Set<EngineWork>();
  #others = NO_USE;
  #othersAtMs = -Infinity;
  #held = new Map<core.ModelName, HeldModel>();
  readonly #absentUntilMs = new Map<string, number>();
  #isSuspectElsewhere = false;

  constructor(record: fleet.UpstreamRecord, cacheTokens: number) {
    this.record = record;
    this.prefixes = new PrefixMemory(cacheTokens);
    this.holdAsListed();
  }

  /** Requests on the way, of all nodes. */
  get inFlight(): number {
    return this.#mine.size + this.#others.inFlight;
  }

  /** Requests that this node has on the way. */
  get mine(): ReadonlySet<EngineWork> {
    return this.#mine;
  }

  /** Prompt work ahead of a new request. */
  get prefillBacklogMs(): number {
    let sumMs = this.#others.prefillMs;
    for (const work of this.#mine) if (!work.hasAnswer) sumMs += work.prefillMs;
    return sumMs;
  }

  /** Memory that requests on the way may take, in tokens. */
  get tokens(): number {
    let sum = this.#others.tokens;
    for (const work of this.#mine) sum += work.tokens;
    return sum;
  }

  get held(): ReadonlyMap<core.ModelName, HeldModel> {
    return this.#held;
  }

  /** Notes a request sent; the returned function ends it. */
  start(work: EngineWork): () => void {
    this.#mine.add(work);
    this.#notePending();
    return () => {
      this.#mine.delete(work);
      this.#notePending();
    };
  }

  /** Notes the first event of a request, and how long it took. */
  answered(work: EngineWork, estimatedMs: number, nowMs: number): void {
    work.hasAnswer = true;
    this.#notePending();
    if (estimatedMs <= 0) return;
    const ratio = (nowMs - work.sentAtMs) / estimatedMs * this.slowness;
    const bounded = Math.min(SLOWNESS_MAX, Math.max(SLOWNESS_MIN, ratio));
    this.slowness += (bounded - this.slowness) * SLOWNESS_WEIGHT;
  }

  /** Takes what the other nodes told. */
  setOthers(use: OthersUse, isSuspect: boolean, nowMs: number): void {
    this.#others = use;
    this.#isSuspectElsewhere = isSuspect;
    this.#othersAtMs = nowMs;
  }

  /** How long ago the others told of their work, in ms. */
  othersAgeMs(nowMs: number): number {
    return nowMs - this.#othersAtMs;
  }

  /** Drops what others told when it has become too old. */
  expireOthers(nowMs: number): void {
    if (nowMs - this.#othersAtMs <= OTHERS_STALE_MS) return;
    this.#others = NO_USE;
    this.#isSuspectElsewhere = false;
  }

  /** Takes what the sender of orders says that it holds. */
  hold(held: ReadonlyMap<core.ModelName, HeldModel>): void {
    for (const model of this.#held.keys()) {
      if (!held.has(model)) this.prefixes.forget(model);
    }
    this.#held = new Map(held);
  }

  /** Takes its own entry on the list for what it holds. */
  holdAsListed(): void {
    this.hold(
      new Map(
        this.record.models.map(({ model, adapters }) => [
          model,
          { isUsable: true, adapters: new Set(adapters) },
        ]),
      ),
    );
  }

  /** Notes that it refused a request, for want of the model if so told. */
  noteRefused(weights: string, lacksModel: boolean, nowMs: number): void {
    const forMs = lacksModel ? ABSENT_FOR_MS : FULL_FOR_MS;
    this.#absentUntilMs.set(weights, nowMs + forMs);
  }

  /** Whether it can run the model, and the adapter if one is named. */
  canRun(
    model: core.ModelName,
    adapter: string | undefined,
    nowMs: number,
  ): boolean {
    const held = this.#held.get(model);
    if (!held?.isUsable) return false;
    if (adapter !== undefined && !held.adapters.has(adapter)) return false;
    const weights = adapter === undefined ? model : `${model}/${adapter}`;
    return (this.#absentUntilMs.get(weights) ?? 0) <= nowMs;
  }

  /** Whether new requests should go elsewhere if they can. */
  isSuspect(nowMs: number): boolean {
    return this.health.isSuspect(nowMs) || this.#isSuspectElsewhere;
  }

  #notePending(): void {
    let oldestMs: number | undefined;
    for (const { hasAnswer, sentAtMs } of this.#mine) {
      if (hasAnswer) continue;
      oldestMs = Math.min(oldestMs ?? sentAtMs, sentAtMs);
    }
    this.health.setOldestPending(oldestMs);
  }
}

/** All upstreams that are on the platform's list. */
export class EngineBoard {
  readonly #engines = new Map<core.UpstreamId, EngineState>();
  readonly #byService = new Map<core.ServiceName, Set<EngineState>>();

  /** Adds or renews an upstream; a new incarnation starts from nothing. */
  set(record: fleet.UpstreamRecord, cacheTokens: number): EngineState {
    const known = this.#engines.get(record.id);
    const isSame = known && known.record.startedAtMs === record.startedAtMs &&
      known.record.address === record.address &&
      known.record.service === record.service;
    if (isSame) {
      known.record = record;
      return known;
    }
    if (known) this.remove(record.id);
    const engine = new EngineState(record, cacheTokens);
    this.#engines.set(record.id, engine);
    let group = this.#byService.get(record.service);
    if (!group) this.#byService.set(record.service, group = new Set());
    group.add(engine);
    return engine;
  }

  /** Removes an upstream that is gone. */
  remove(id: core.UpstreamId): void {
    const engine = this.#engines.get(id);
    if (!engine) return;
    this.#engines.delete(id);
    this.#byService.get(engine.record.service)?.delete(engine);
  }

  get(id: core.UpstreamId): EngineState | undefined {
    return this.#engines.get(id);
  }

  all(): Iterable<EngineState> {
    return this.#engines.values();
  }

  /** Upstreams of a service, leaving ones included. */
  ofService(service: core.ServiceName): ReadonlySet<EngineState> {
    return this.#byService.get(service) ?? new Set();
  }
}
