/** What callers are told about a failed attempt. */
import * as core from "../core/mod.ts";
import type * as upstream from "../upstream/mod.ts";

/** When coming back makes sense after an upstream refused, in milliseconds. */
const RETRY_UPSTREAM_MS = 200;

/** Turns a failed attempt into the failure that its caller is told. */
export function toFailure(failure: upstream.AttemptFailure): core.Failure {
  const { fault, ran, detail } = failure;
  switch (fault) {
    case "unreachable":
      return core.refuse(core.UPSTREAM_UNREACHABLE, detail, RETRY_UPSTREAM_MS);
    case "refused":
      return core.refuse(core.UPSTREAM_REFUSED, detail, RETRY_UPSTREAM_MS);
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
