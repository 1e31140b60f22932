/** Admission to the engines' memory at this node, with its counts and log. */
import * as admission from "../../admission/mod.ts";
import * as core from "../../core/mod.ts";
import * as dispatch from "../../dispatch/mod.ts";
import type * as relay from "../../relay/mod.ts";
import type { EntryState } from "../entry_state.ts";

/** Shortest time between two log lines about requests that wait for memory. */
const LOG_INTERVAL_MS = 1_000;

/** Time for which the list of nodes is used again. */
const VIEW_TTL_MS = 100;
/**
 * Time for which a lost node may go on sending. Callers leave one that nobody
 * hears of, and its requests end.
 */
const LOST_FOR_MS = 10_000;

/** Decides by what this node knows of the engines and the other nodes. */
export class EngineAdmission {
  readonly #state: EntryState;
  readonly #rule: admission.AdmissionRule;
  readonly #spread: dispatch.EngineSpread;
  /** Requests that have been counted as waiting for memory. */
  readonly #waiting = new WeakSet<relay.RelayedRequest>();
  #nodes: admission.NodesView = { registered: [], lost: new Set() };
  #viewedAtMs = -Infinity;
  #loggedAtMs = -Infinity;
  #waitsSinceLog = 0;

  constructor(state: EntryState) {
    const { nodeName } = state.settings;
    this.#state = state;
    this.#rule = new admission.SharesRule(nodeName, () => this.#viewNodes());
    this.#spread = new dispatch.SpreadByNode(nodeName);
  }

  /** Whether what other nodes send meanwhile is allowed for. */
  get #usesShares(): boolean {
    return this.#state.settings.engineAdmission === "shares";
  }

  /** What the choice of an engine for a request depends on here. */
  contextFor(
    request: relay.RelayedRequest,
    nowMs: number,
  ): Pick<dispatch.ChoiceContext, "admission" | "spread" | "onMemoryFull"> {
    return {
      ...(this.#usesShares
        ? { admission: this.#rule, spread: this.#spread }
        : {}),
      onMemoryFull: (engines) => this.#noteWait(request, engines, nowMs),
    };
  }

  /** Output tokens that few requests with this maximum exceed. */
  likelyOutputTokens(outputTokensMax: number): number {
    if (!this.#usesShares) return outputTokensMax;
    return Math.ceil(
      this.#state.outputLengths.likelyRemainingMax(outputTokensMax, 0),
    );
  }

  /** Gives up what is kept for a request that waits no more. */
  release(request: relay.RelayedRequest): void {
    this.#rule.release({ key: request, tokens: 0 });
  }

  /** Members that were lost long ago are dead, if most are still here. */
  #viewNodes(): admission.NodesView {
    const nowMs = core.monotonicMs();
    if (nowMs - this.#viewedAtMs < VIEW_TTL_MS) return this.#nodes;
    const { members } = this.#state;
    const registered = members.registered();
    const gone = registered.filter((node) => !members.isAlive(node));
    const isMajority = 2 * gone.length < registered.length;
    const lost = isMajority
      ? gone.filter((node) => members.wasInContact(node, nowMs - LOST_FOR_MS))
      : gone;
    this.#nodes = { registered, lost: new Set(lost) };
    this.#viewedAtMs = nowMs;
    return this.#nodes;
  }

  #noteWait(
    request: relay.RelayedRequest,
    engines: readonly dispatch.UpstreamState[],
    nowMs: number,
  ): void {
    if (this.#waiting.has(request)) return;
    this.#waiting.add(request);
    this.#state.metrics.increment("memory_waits");
    this.#waitsSinceLog++;
    if (nowMs - this.#loggedAtMs < LOG_INTERVAL_MS) return;
    const { caller, service } = request;
    const [least] = [...engines]
      .sort((a, b) => a.reservedTokens - b.reservedTokens);
    this.#state.logger.info("waits_for_memory", {
      request: caller.requestId,
      service,
      model: caller.model,
      promptTokens: caller.promptTokens,
      requests: this.#waitsSinceLog,
      engines: engines.length,
      leastUsed: least?.record.id,
      usedTokens: least?.reservedTokens,
      claimedTokens: least?.memory.others.claimedTokens,
      contenders: least && Math.round(least.memory.others.contenders),
      othersAgeMs: least && roundAge(least.memory.othersAgeMs(nowMs)),
    });
    this.#loggedAtMs = nowMs;
    this.#waitsSinceLog = 0;
  }
}

function roundAge(ageMs: number): number | undefined {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}
