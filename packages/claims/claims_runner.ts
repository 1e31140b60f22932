/** Runs calls that may not be repeated, each at most once. */
import { err, ok, type Result } from "neverthrow";
import * as core from "../core/mod.ts";
import { ClaimEntry, ClaimRegistry } from "./claims_registry.ts";
import { ClaimSettler } from "./claims_settler.ts";
import { claimKey, type ClaimStore } from "./claims_store.ts";
import type {
  ClaimFate,
  ClaimOutcome,
  ClaimPeers,
  ClaimRequest,
  ClaimRow,
  DispatchResult,
  VersionedClaim,
} from "./claims_types.ts";

/** Attempts to learn the fate of a claim write whose reply was lost. */
const CLAIM_WRITE_ATTEMPTS_MAX = 4;
const CLAIM_WRITE_PAUSE_MS = 30;
/** Questions to a silent owner before its claim's fate counts as unknown. */
const ASK_ATTEMPTS_MAX = 3;
/** Pause between questions to the owner of a claim in progress. */
const ASK_PAUSE_MS = 100;
const STORE_RETRY_AFTER_MS = 1_000;
const OWNER_RETRY_AFTER_MS = 1_000;

/** Who makes the claims, and with what. */
export interface ClaimRunnerOptions {
  readonly instanceId: core.InstanceId;
  readonly incarnation: core.Incarnation;
  readonly store: ClaimStore;
  readonly peers: ClaimPeers;
  /** Unsettled claims at most; past it new ones are refused. */
  readonly unsettledMax: number;
  /** How long a caller waits for the end of its claim to be stored. */
  readonly settleWaitMs: number;
}

/** Sends the call; told only once, directly after the deadline check. */
export type Dispatch = () => Promise<DispatchResult>;

type ClaimEnd = Result<ClaimOutcome, core.Failure>;

type Acquired =
  | { readonly kind: "own"; readonly version: number }
  | { readonly kind: "held"; readonly held: VersionedClaim }
  | { readonly kind: "refused"; readonly failure: core.Failure };

/** What to do about a claim that another request holds. */
type HeldStep =
  | { readonly kind: "end"; readonly end: ClaimEnd }
  | { readonly kind: "takeOver"; readonly version: number }
  | { readonly kind: "wait" };

/** Claims, dispatches, records and replays. */
export class ClaimRunner {
  readonly registry = new ClaimRegistry();
  readonly settler: ClaimSettler;
  readonly #options: ClaimRunnerOptions;

  constructor(options: ClaimRunnerOptions) {
    this.#options = options;
    this.settler = new ClaimSettler(
      options.store,
      this.registry,
      options.settleWaitMs,
    );
  }

  /** Answers a peer that asks about a claim. */
  fateOf(nonce: core.Nonce, incarnation: core.Incarnation): ClaimFate {
    if (incarnation !== this.#options.incarnation) return { kind: "notOwner" };
    return this.registry.fateOf(nonce);
  }

  /**
   * Runs a request at most once over all instances.
   *
   * @example
   * ```ts
   * const outcome = await runner.run(request, () => callService(attempt));
   * ```
   */
  async run(request: ClaimRequest, dispatch: Dispatch): Promise<ClaimEnd> {
    let version = 0;
    while (!request.deadline.isOver()) {
      const local = this.registry.find(claimKey(request));
      if (local) {
        const end = await this.#join(request, local);
        if (end) return end;
        continue;
      }
      const step = await this.#claim(request, version, dispatch);
      if (step.kind === "end") return step.end;
      if (step.kind === "takeOver") version = step.version;
      else await core.sleep(core.jitterMs(ASK_PAUSE_MS));
    }
    return err(
      core.refuse(core.DEADLINE_PASSED, "no claim before the deadline"),
    );
  }

  /** Waits for a request of the same key on this very instance. */
  async #join(
    request: ClaimRequest,
    local: ClaimEntry,
  ): Promise<ClaimEnd | undefined> {
    if (local.bodyHash !== request.bodyHash) return err(keyReused());
    const remainingMs = request.deadline.remainingMs();
    await Promise.race([local.settled, core.sleep(remainingMs)]);
    switch (local.fate.kind) {
      case "done":
        return ok(local.fate.outcome);
      case "abandoned":
        await core.sleep(1);
        return undefined;
      case "inFlight":
        return err(stillInFlight());
      default:
        return err(fateUnknown("its outcome was lost"));
    }
  }

  async #claim(
    request: ClaimRequest,
    version: number,
    dispatch: Dispatch,
  ): Promise<HeldStep> {
    if (this.registry.size >= this.#options.unsettledMax) {
      return { kind: "end", end: err(storeDown("too many unsettled claims")) };
    }
    const entry = new ClaimEntry(
      claimKey(request),
      request.bodyHash,
      core.randomId<core.Nonce>("nc"),
    );
    this.registry.add(entry);
    const acquired = await this.#acquire(entry, version);
    if (acquired.kind === "own") {
      const end = await this.#dispatch(
        request,
        entry,
        acquired.version,
        dispatch,
      );
      return { kind: "end", end };
    }
    this.#forget(entry);
    if (acquired.kind === "refused") {
      return { kind: "end", end: err(acquired.failure) };
    }
    return this.#judge(request, acquired.held);
  }

  /** Writes the claim; a lost reply is resolved by writing it again. */
  async #acquire(entry: ClaimEntry, version: number): Promise<Acquired> {
    const row = this.#row(entry, "claimed");
    let lost = false;
    for (let attempt = 0; attempt < CLAIM_WRITE_ATTEMPTS_MAX; attempt++) {
      const written = await this.#options.store.write(
        entry.storeKey,
        version,
        row,
      );
      if (written.kind === "committed") {
        return { kind: "own", version: written.version };
      }
      if (written.kind === "held") return this.#ownOrHeld(entry, written.held);
      lost ||= written.effect === "unknown";
      if (!lost) break;
      await core.sleep(core.jitterMs(CLAIM_WRITE_PAUSE_MS * (attempt + 1)));
    }
    if (lost) this.#releaseLater(entry);
    return { kind: "refused", failure: storeDown("the claim is not recorded") };
  }

  #ownOrHeld(
    entry: ClaimEntry,
    held: VersionedClaim | undefined,
  ): Acquired {
    if (held === undefined) {
      const failure = storeDown("the claim row cannot be read");
      return { kind: "refused", failure };
    }
    if (held.claim.nonce !== entry.nonce) return { kind: "held", held };
    return { kind: "own", version: held.version };
  }

  #judge(
    request: ClaimRequest,
    held: VersionedClaim,
  ): HeldStep | Promise<HeldStep> {
    const { claim, version } = held;
    if (claim.bodyHash !== request.bodyHash) {
      return { kind: "end", end: err(keyReused()) };
    }
    switch (claim.state) {
      case "done":
        return replay(claim.outcome);
      case "released":
        return { kind: "takeOver", version };
      case "unknown":
        return { kind: "end", end: err(fateUnknown("its outcome was lost")) };
      case "claimed":
        return this.#askOwner(request, held);
    }
  }

  async #askOwner(
    request: ClaimRequest,
    held: VersionedClaim,
  ): Promise<HeldStep> {
    const { owner } = held.claim;
    const fate = await this.#askPatiently(request, held.claim);
    switch (fate.kind) {
      case "abandoned":
        return { kind: "takeOver", version: held.version };
      case "done":
        return replay(fate.outcome);
      case "inFlight":
        if (request.deadline.remainingMs() > ASK_PAUSE_MS * 2) {
          return { kind: "wait" };
        }
        return { kind: "end", end: err(stillInFlight()) };
      case "unreachable": {
        const failure = {
          ...fateUnknown(`its owner ${owner} cannot be reached`),
          retryAfterMs: OWNER_RETRY_AFTER_MS,
        };
        return { kind: "end", end: err(failure) };
      }
      default:
        return { kind: "end", end: err(fateUnknown(`its owner is gone`)) };
    }
  }

  /** Asks a silent owner again: one lost question is no proof of a loss. */
  async #askPatiently(
    request: ClaimRequest,
    claim: ClaimRow,
  ): Promise<ClaimFate> {
    const { owner, incarnation, nonce } = claim;
    if (owner === this.#options.instanceId) {
      return this.fateOf(nonce, incarnation);
    }
    const { callerId, key, deadline } = request;
    const question = { callerId, key, nonce, owner, incarnation };
    for (let attempt = 1;; attempt++) {
      const fate = await this.#options.peers.queryFate(question);
      const isLast = attempt >= ASK_ATTEMPTS_MAX || deadline.isOver();
      if (fate.kind !== "unreachable" || isLast) return fate;
      await core.sleep(core.jitterMs(ASK_PAUSE_MS));
    }
  }

  async #dispatch(
    request: ClaimRequest,
    entry: ClaimEntry,
    version: number,
    dispatch: Dispatch,
  ): Promise<ClaimEnd> {
    if (request.deadline.isOver()) {
      const failure = core.refuse(core.DEADLINE_PASSED, "after the claim");
      return this.#finish(entry, version, { kind: "notRun", failure });
    }
    const ending = this.#dispatchAndFinish(entry, version, dispatch);
    const inTime = await Promise.race([
      ending,
      core.sleep(request.deadline.remainingMs()).then(() => undefined),
    ]);
    return inTime ?? err(stillInFlight());
  }

  async #dispatchAndFinish(
    entry: ClaimEntry,
    version: number,
    dispatch: Dispatch,
  ): Promise<ClaimEnd> {
    core.invariant(version > 0, 3, entry.storeKey);
    const end = await dispatch();
    return this.#finish(entry, version, end);
  }

  async #finish(
    entry: ClaimEntry,
    version: number,
    end: DispatchResult,
  ): Promise<ClaimEnd> {
    switch (end.kind) {
      case "answered":
        entry.complete(end.outcome);
        await this.settler.settle({
          entry,
          version,
          row: { ...this.#row(entry, "done"), outcome: end.outcome },
        });
        return ok(end.outcome);
      case "unknown":
        entry.markUnknown();
        await this.settler.settle({
          entry,
          version,
          row: this.#row(entry, "unknown"),
        });
        return err(end.failure);
      case "notRun":
        this.#forget(entry);
        await this.settler.settle({
          entry,
          version,
          row: this.#row(entry, "released"),
        });
        return err(end.failure);
    }
  }

  #forget(entry: ClaimEntry): void {
    this.registry.remove(entry);
    entry.abandon();
  }

  /** The claim may still take effect; make sure that it ends released. */
  #releaseLater(entry: ClaimEntry): void {
    const row = this.#row(entry, "released");
    void this.settler.settle({ entry, version: 0, row });
  }

  #row(entry: ClaimEntry, state: ClaimRow["state"]): ClaimRow {
    const { instanceId, incarnation } = this.#options;
    return {
      bodyHash: entry.bodyHash,
      owner: instanceId,
      incarnation,
      nonce: entry.nonce,
      state,
      claimedAt: new Date().toISOString(),
    };
  }
}

function replay(outcome: ClaimOutcome | undefined): HeldStep {
  if (outcome !== undefined) return { kind: "end", end: ok(outcome) };
  const failure: core.Failure = {
    ...core.fail(core.OUTCOME_UNREADABLE, "the object store", "yes"),
    retryAfterMs: STORE_RETRY_AFTER_MS,
  };
  return { kind: "end", end: err(failure) };
}

function keyReused(): core.Failure {
  return core.refuse(core.KEY_REUSED, "the key names another request");
}

function stillInFlight(): core.Failure {
  const failure = core.fail(
    core.CLAIM_IN_FLIGHT,
    "the first request with this key has not ended",
    "unknown",
  );
  return { ...failure, retryAfterMs: OWNER_RETRY_AFTER_MS };
}

function fateUnknown(detail: string): core.Failure {
  return core.fail(core.CLAIM_FATE_UNKNOWN, detail, "unknown");
}

function storeDown(detail: string): core.Failure {
  return core.refuse(core.CLAIM_STORE_DOWN, detail, STORE_RETRY_AFTER_MS);
}
