/** Runs calls that may not be repeated, each at most once. */
import { err, ok, type Result } from "neverthrow";
import * as core from "../core/mod.ts";
import * as failures from "./claims_failures.ts";
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

/** Attempts to write a claim while the replies to its writes are lost. */
const CLAIM_WRITE_ATTEMPTS_MAX = 4;
const CLAIM_WRITE_RETRY_DELAY_MS = 30;
/** Queries to an unreachable owner before the claim's fate is unknown. */
const OWNER_QUERY_ATTEMPTS_MAX = 3;
/** Interval between queries to the owner of an in-flight claim. */
const OWNER_QUERY_INTERVAL_MS = 100;

/** Options of a `ClaimRunner`. */
export interface ClaimRunnerOptions {
  readonly instanceId: core.InstanceId;
  readonly incarnation: core.Incarnation;
  readonly store: ClaimStore;
  readonly peers: ClaimPeers;
  /** Maximum number of unsettled claims; above it new claims are rejected. */
  readonly unsettledMax: number;
  /** How long a caller waits for the final state of its claim to be stored. */
  readonly settleWaitMs: number;
}

/** Sends the call. Called at most once, directly after the deadline check. */
export type Dispatch = () => Promise<DispatchResult>;

type ClaimResult = Result<ClaimOutcome, core.Failure>;

type AcquireResult =
  | { readonly kind: "own"; readonly version: number }
  | { readonly kind: "held"; readonly held: VersionedClaim }
  | { readonly kind: "refused"; readonly failure: core.Failure };

/** What to do after an attempt to claim a key. */
type ClaimStep =
  | { readonly kind: "end"; readonly result: ClaimResult }
  | { readonly kind: "takeOver"; readonly version: number }
  | { readonly kind: "wait" };

/** Claims a key, dispatches its call, and stores and replays the outcome. */
export class ClaimRunner {
  readonly registry = new ClaimRegistry();
  readonly settler: ClaimSettler;
  readonly #options: ClaimRunnerOptions;
  /** Calls in flight, until their final states are stored or given up. */
  readonly #dispatched = new Set<Promise<ClaimResult>>();

  constructor(options: ClaimRunnerOptions) {
    this.#options = options;
    this.settler = new ClaimSettler(
      options.store,
      this.registry,
      options.settleWaitMs,
    );
  }

  /** Returns the fate of a claim to a peer that queries it. */
  fateOf(nonce: core.Nonce, incarnation: core.Incarnation): ClaimFate {
    if (incarnation !== this.#options.incarnation) return { kind: "notOwner" };
    return this.registry.fateOf(nonce);
  }

  /**
   * Waits up to `waitMs` until no call is in flight, including those whose
   * callers were answered at their deadlines.
   *
   * @returns whether that happened.
   */
  async whenIdle(waitMs: number): Promise<boolean> {
    const ended = Promise.allSettled(this.#dispatched).then(() => true);
    return await new core.Deadline(waitMs).waitFor(ended) ?? false;
  }

  /**
   * Runs a request at most once across all instances. Its result comes by the
   * deadline, or when its signal aborts, whatever the store, the owner of the claim or the service do.
   *
   * @example
   * ```ts
   * const outcome = await runner.run(request, () => callService(attempt));
   * ```
   */
  async run(request: ClaimRequest, dispatch: Dispatch): Promise<ClaimResult> {
    const progress: failures.RunProgress = { stage: "claiming" };
    const result = this.#run(request, progress, async () => {
      if (progress.stage === "ended") {
        return { kind: "notRun", failure: failures.noClaimInTime() };
      }
      progress.stage = "dispatched";
      return await dispatch();
    });
    const resultInTime = await request.deadline
      .waitFor(result, request.signal);
    if (resultInTime !== undefined) return resultInTime;
    const failure = failures.lateFailure(progress);
    if (progress.stage !== "dispatched") progress.stage = "ended";
    return err(failure);
  }

  async #run(
    request: ClaimRequest,
    progress: failures.RunProgress,
    dispatch: Dispatch,
  ): Promise<ClaimResult> {
    let version = 0;
    while (!failures.hasEnded(progress) && !request.deadline.isOver()) {
      const local = this.registry.find(claimKey(request));
      if (local) {
        failures.enterStage(progress, "held");
        const result = await this.#awaitLocalClaim(request, local);
        if (result) return result;
        continue;
      }
      failures.enterStage(progress, "claiming");
      const step = await this.#tryClaim(request, progress, version, dispatch);
      if (step.kind === "end") return step.result;
      if (step.kind === "takeOver") version = step.version;
      else await core.sleep(core.jitterMs(OWNER_QUERY_INTERVAL_MS));
    }
    return err(failures.lateFailure(progress));
  }

  /**
   * Waits for a request with the same key on this instance. Returns undefined
   * if that request abandoned its claim, so that the key can be claimed again.
   */
  async #awaitLocalClaim(
    request: ClaimRequest,
    local: ClaimEntry,
  ): Promise<ClaimResult | undefined> {
    if (local.bodyHash !== request.bodyHash) return err(failures.keyReused());
    const remainingMs = request.deadline.remainingMs();
    await Promise.race([local.settled, core.sleep(remainingMs)]);
    switch (local.fate.kind) {
      case "done":
        return ok(local.fate.outcome);
      case "abandoned":
        await core.sleep(1);
        return undefined;
      case "inFlight":
        return err(failures.stillInFlight());
      default:
        return err(failures.fateUnknown("its outcome was lost"));
    }
  }

  async #tryClaim(
    request: ClaimRequest,
    progress: failures.RunProgress,
    version: number,
    dispatch: Dispatch,
  ): Promise<ClaimStep> {
    if (this.registry.size >= this.#options.unsettledMax) {
      return {
        kind: "end",
        result: err(failures.storeUnavailable("too many unsettled claims")),
      };
    }
    const entry = new ClaimEntry(
      claimKey(request),
      request.bodyHash,
      core.randomId<core.Nonce>("nc"),
    );
    this.registry.add(entry);
    const acquired = await this.#acquire(entry, version);
    if (acquired.kind === "own") {
      const result = await this.#dispatch(
        request,
        entry,
        acquired.version,
        dispatch,
      );
      return { kind: "end", result };
    }
    this.#abandon(entry);
    if (acquired.kind === "refused") {
      return { kind: "end", result: err(acquired.failure) };
    }
    failures.enterStage(progress, "held");
    return this.#resolveHeld(request, acquired.held);
  }

  /** Writes the claim; a lost reply is resolved by repeating the write. */
  async #acquire(entry: ClaimEntry, version: number): Promise<AcquireResult> {
    const row = this.#row(entry, "claimed");
    let hasLostReply = false;
    for (let attempt = 0; attempt < CLAIM_WRITE_ATTEMPTS_MAX; attempt++) {
      const written = await this.#options.store.write(
        entry.storeKey,
        version,
        row,
      );
      if (written.kind === "committed") {
        return { kind: "own", version: written.version };
      }
      if (written.kind === "held") return this.#checkHeld(entry, written.held);
      hasLostReply ||= written.effect === "unknown";
      if (!hasLostReply) break;
      await core.sleep(
        core.jitterMs(CLAIM_WRITE_RETRY_DELAY_MS * (attempt + 1)),
      );
    }
    if (hasLostReply) this.#releaseInBackground(entry);
    return {
      kind: "refused",
      failure: failures.storeUnavailable("the claim is not recorded"),
    };
  }

  #checkHeld(
    entry: ClaimEntry,
    held: VersionedClaim | undefined,
  ): AcquireResult {
    if (held === undefined) {
      const failure = failures.storeUnavailable("the claim row cannot be read");
      return { kind: "refused", failure };
    }
    if (held.claim.nonce !== entry.nonce) return { kind: "held", held };
    return { kind: "own", version: held.version };
  }

  #resolveHeld(
    request: ClaimRequest,
    held: VersionedClaim,
  ): ClaimStep | Promise<ClaimStep> {
    const { claim, version } = held;
    if (claim.bodyHash !== request.bodyHash) {
      return { kind: "end", result: err(failures.keyReused()) };
    }
    switch (claim.state) {
      case "done":
        return replay(claim.outcome);
      case "released":
        return { kind: "takeOver", version };
      case "unknown":
        return {
          kind: "end",
          result: err(failures.fateUnknown("its outcome was lost")),
        };
      case "claimed":
        return this.#resolveWithOwner(request, held);
    }
  }

  async #resolveWithOwner(
    request: ClaimRequest,
    held: VersionedClaim,
  ): Promise<ClaimStep> {
    const { owner } = held.claim;
    const fate = await this.#queryOwner(request, held.claim);
    switch (fate.kind) {
      case "abandoned":
        return { kind: "takeOver", version: held.version };
      case "done":
        return replay(fate.outcome);
      case "inFlight":
        if (request.deadline.remainingMs() > OWNER_QUERY_INTERVAL_MS * 2) {
          return { kind: "wait" };
        }
        return { kind: "end", result: err(failures.stillInFlight()) };
      case "unreachable": {
        return { kind: "end", result: err(failures.ownerUnreachable(owner)) };
      }
      default:
        return {
          kind: "end",
          result: err(failures.fateUnknown(`its owner is gone`)),
        };
    }
  }

  /** Retries an unreachable owner: one lost query does not prove it is gone. */
  async #queryOwner(
    request: ClaimRequest,
    claim: ClaimRow,
  ): Promise<ClaimFate> {
    const { owner, incarnation, nonce } = claim;
    if (owner === this.#options.instanceId) {
      return this.fateOf(nonce, incarnation);
    }
    const { callerId, key, deadline } = request;
    const query = { callerId, key, nonce, owner, incarnation };
    for (let attempt = 1;; attempt++) {
      const fate = await this.#options.peers.queryFate(query);
      const isLast = attempt >= OWNER_QUERY_ATTEMPTS_MAX || deadline.isOver();
      if (fate.kind !== "unreachable" || isLast) return fate;
      await core.sleep(core.jitterMs(OWNER_QUERY_INTERVAL_MS));
    }
  }

  async #dispatch(
    request: ClaimRequest,
    entry: ClaimEntry,
    version: number,
    dispatch: Dispatch,
  ): Promise<ClaimResult> {
    if (request.deadline.isOver()) {
      const failure = core.refuse(core.DEADLINE_PASSED, "after the claim");
      return this.#finish(entry, version, { kind: "notRun", failure });
    }
    core.invariant(version > 0, 3, entry.storeKey);
    const ended = dispatch()
      .then((result) => this.#finish(entry, version, result));
    this.#dispatched.add(ended);
    try {
      return await ended;
    } finally {
      this.#dispatched.delete(ended);
    }
  }

  async #finish(
    entry: ClaimEntry,
    version: number,
    result: DispatchResult,
  ): Promise<ClaimResult> {
    switch (result.kind) {
      case "answered":
        entry.complete(result.outcome);
        await this.settler.settle({
          entry,
          version,
          row: { ...this.#row(entry, "done"), outcome: result.outcome },
        });
        return ok(result.outcome);
      case "unknown":
        entry.markUnknown();
        await this.settler.settle({
          entry,
          version,
          row: this.#row(entry, "unknown"),
        });
        return err(result.failure);
      case "notRun":
        this.#abandon(entry);
        await this.settler.settle({
          entry,
          version,
          row: this.#row(entry, "released"),
        });
        return err(result.failure);
    }
  }

  #abandon(entry: ClaimEntry): void {
    this.registry.remove(entry);
    entry.abandon();
  }

  /** Releases, in the background, a claim whose write may still take effect. */
  #releaseInBackground(entry: ClaimEntry): void {
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

function replay(outcome: ClaimOutcome | undefined): ClaimStep {
  const result = outcome === undefined
    ? err(failures.outcomeUnreadable())
    : ok(outcome);
  return { kind: "end", result };
}
