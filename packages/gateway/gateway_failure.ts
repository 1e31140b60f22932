/** Maps failed upstream attempts to the failures reported to callers. */
import * as core from "../core/mod.ts";
import type * as upstream from "../upstream/mod.ts";

/** Retry-after hint when an upstream was unreachable or refused a request. */
const UPSTREAM_RETRY_AFTER_MS = 200;

/** Converts a failed attempt to the failure reported to its caller. */
export function toFailure(failure: upstream.AttemptFailure): core.Failure {
  const { fault, ran, detail } = failure;
  switch (fault) {
    case "unreachable":
      return core.refuse(
        core.UPSTREAM_UNREACHABLE,
        detail,
        UPSTREAM_RETRY_AFTER_MS,
      );
    case "refused":
      return core.refuse(
        core.UPSTREAM_REFUSED,
        detail,
        UPSTREAM_RETRY_AFTER_MS,
      );
    case "rejected":
      return core.refuse(core.BODY_INVALID, detail);
    case "foreign":
      return core.fail(core.ANSWER_FOREIGN, detail, ran);
    case "late":
      return core.fail(core.ANSWER_LATE, detail, ran);
    case "broke":
      return core.fail(core.UPSTREAM_BROKE, detail, ran);
  }
}
