/** Failures of requests for calls that may not be repeated. */
import * as core from "../core/mod.ts";

const STORE_RETRY_AFTER_MS = 1_000;
const OWNER_RETRY_AFTER_MS = 1_000;

/**
 * How far a request has come: its claim is being written, another request has
 * the claim, its call was dispatched, or its caller was answered before that.
 */
export interface RunProgress {
  stage: "claiming" | "held" | "dispatched" | "ended";
}

/** Whether the caller was answered, so that the call must not be dispatched. */
export function hasEnded({ stage }: RunProgress): boolean {
  return stage === "ended";
}

/** Records a stage; a request that has ended stays so. */
export function enterStage(
  progress: RunProgress,
  stage: "claiming" | "held",
): void {
  if (!hasEnded(progress)) progress.stage = stage;
}

/** The key was used with another request. */
export function keyReused(): core.Failure {
  return core.refuse(core.KEY_REUSED, "the key names another request");
}

/** The deadline passed before the key was claimed; the call never runs. */
export function noClaimInTime(): core.Failure {
  return core.refuse(core.DEADLINE_PASSED, "no claim before the deadline");
}

/** The deadline passed while a call with this key is in flight. */
export function stillInFlight(): core.Failure {
  const failure = core.fail(
    core.CLAIM_IN_FLIGHT,
    "the first request with this key has not ended",
    "unknown",
  );
  return { ...failure, retryAfterMs: OWNER_RETRY_AFTER_MS };
}

/** A call with this key may have run; nobody knows its outcome. */
export function fateUnknown(detail: string): core.Failure {
  return core.fail(core.CLAIM_FATE_UNKNOWN, detail, "unknown");
}

/** The claim cannot be recorded, so the call is not run. */
export function storeUnavailable(detail: string): core.Failure {
  return core.refuse(core.CLAIM_STORE_DOWN, detail, STORE_RETRY_AFTER_MS);
}

/** The owner of a call in flight does not respond. */
export function ownerUnreachable(owner: core.InstanceId): core.Failure {
  return {
    ...fateUnknown(`its owner ${owner} cannot be reached`),
    retryAfterMs: OWNER_RETRY_AFTER_MS,
  };
}

/** The call ran, but its outcome cannot be read now. */
export function outcomeUnreadable(): core.Failure {
  return {
    ...core.fail(core.OUTCOME_UNREADABLE, "the object store", "yes"),
    retryAfterMs: STORE_RETRY_AFTER_MS,
  };
}

/** The failure of a request whose deadline passed. */
export function lateFailure({ stage }: RunProgress): core.Failure {
  return stage === "claiming" ? noClaimInTime() : stillInFlight();
}
