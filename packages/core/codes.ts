/** Numbered result codes. A test checks docs/RESULT-CODES.md against them. */

/** Whether a request was run; `"no"` guarantees that it was not. */
export type Ran = "no" | "yes" | "unknown";

/** A result code with its HTTP status and its meaning for callers. */
export interface ResultCode {
  readonly code: number;
  readonly name: string;
  readonly httpStatus: number;
  readonly meaning: string;
}

function define(
  code: number,
  name: string,
  httpStatus: number,
  meaning: string,
): ResultCode {
  return { code, name, httpStatus, meaning };
}

// 1xxx: the request itself is invalid.

export const BODY_INVALID = define(
  1001,
  "BODY_INVALID",
  400,
  "The body is not JSON of the expected shape.",
);
export const BODY_TOO_LARGE = define(
  1002,
  "BODY_TOO_LARGE",
  413,
  "The body is larger than the limit.",
);
export const TOKEN_INVALID = define(
  1003,
  "TOKEN_INVALID",
  401,
  "The bearer token is missing or names nobody.",
);
export const MODEL_UNKNOWN = define(
  1004,
  "MODEL_UNKNOWN",
  404,
  "No row of the table has this model's name.",
);
export const SERVICE_UNKNOWN = define(
  1005,
  "SERVICE_UNKNOWN",
  404,
  "No service has this name.",
);
export const KEY_MISSING = define(
  1006,
  "KEY_MISSING",
  400,
  "The service needs an Idempotency-Key and none was sent.",
);
export const KEY_INVALID = define(
  1007,
  "KEY_INVALID",
  400,
  "The Idempotency-Key is empty, too long or has forbidden characters.",
);
export const KEY_REUSED = define(
  1008,
  "KEY_REUSED",
  422,
  "The Idempotency-Key was used before with another request.",
);
export const DEADLINE_INVALID = define(
  1009,
  "DEADLINE_INVALID",
  400,
  "The deadline header is not a positive number of milliseconds.",
);
export const ROUTE_UNKNOWN = define(
  1010,
  "ROUTE_UNKNOWN",
  404,
  "No such path or method.",
);
export const ROLE_FORBIDDEN = define(
  1011,
  "ROLE_FORBIDDEN",
  403,
  "The token may not do this.",
);

export const BODY_TOO_SLOW = define(
  1012,
  "BODY_TOO_SLOW",
  408,
  "The body did not arrive, or too slowly.",
);

// 2xxx: the request was rejected before it was run.

export const INSTANCE_LEAVING = define(
  2001,
  "INSTANCE_LEAVING",
  503,
  "The instance is stopping; use another entry.",
);
export const INSTANCE_ISOLATED = define(
  2002,
  "INSTANCE_ISOLATED",
  503,
  "The instance reaches neither store nor peer; use another entry.",
);
export const DEADLINE_UNREACHABLE = define(
  2003,
  "DEADLINE_UNREACHABLE",
  503,
  "The estimated first token is later than the deadline.",
);
export const LIMIT_REACHED = define(
  2004,
  "LIMIT_REACHED",
  429,
  "The row's limit of requests in progress is reached.",
);
export const INSTANCE_FULL = define(
  2005,
  "INSTANCE_FULL",
  503,
  "The instance holds as many requests as it may.",
);
export const MODEL_LOADING = define(
  2006,
  "MODEL_LOADING",
  503,
  "The model or adapter is being loaded and will not be ready in time.",
);
export const DEADLINE_PASSED = define(
  2007,
  "DEADLINE_PASSED",
  504,
  "The deadline passed before the request was dispatched.",
);
export const RETRY_BUDGET_SPENT = define(
  2008,
  "RETRY_BUDGET_SPENT",
  503,
  "Upstreams refused and the retry budget is spent.",
);
export const TABLE_NOT_READY = define(
  2009,
  "TABLE_NOT_READY",
  503,
  "The instance has no table yet.",
);

// 3xxx: an upstream failed.

export const UPSTREAM_UNREACHABLE = define(
  3001,
  "UPSTREAM_UNREACHABLE",
  503,
  "No upstream could be connected to.",
);
export const UPSTREAM_REFUSED = define(
  3002,
  "UPSTREAM_REFUSED",
  503,
  "Every upstream tried refused the request.",
);
export const UPSTREAM_BROKE = define(
  3003,
  "UPSTREAM_BROKE",
  502,
  "The upstream failed after the request was sent.",
);
export const ANSWER_FOREIGN = define(
  3004,
  "ANSWER_FOREIGN",
  502,
  "The upstream answered for another attempt.",
);
export const ANSWER_LATE = define(
  3005,
  "ANSWER_LATE",
  504,
  "The deadline passed while the upstream worked.",
);
export const STREAM_BROKEN = define(
  3006,
  "STREAM_BROKEN",
  502,
  "The stream ended before it was whole.",
);
export const NO_UPSTREAM = define(
  3007,
  "NO_UPSTREAM",
  503,
  "No upstream of this kind is live.",
);

// 4xxx: claims, which guard calls that must not run twice.

export const CLAIM_IN_FLIGHT = define(
  4001,
  "CLAIM_IN_FLIGHT",
  409,
  "A request with this Idempotency-Key is in progress.",
);
export const CLAIM_FATE_UNKNOWN = define(
  4002,
  "CLAIM_FATE_UNKNOWN",
  502,
  "A request with this Idempotency-Key may have run; it is not run again.",
);
export const CLAIM_STORE_DOWN = define(
  4003,
  "CLAIM_STORE_DOWN",
  503,
  "The table service cannot record the claim, so the call is not run.",
);
export const OUTCOME_UNREADABLE = define(
  4004,
  "OUTCOME_UNREADABLE",
  502,
  "The call ran; its recorded outcome cannot be read now.",
);

// 5xxx: a service of the platform failed.

export const STORE_UNAVAILABLE = define(
  5001,
  "STORE_UNAVAILABLE",
  503,
  "The table service refused or could not be reached.",
);
export const STORE_REPLY_LOST = define(
  5002,
  "STORE_REPLY_LOST",
  502,
  "The write may have taken effect; look it up by its id.",
);
export const PLATFORM_ANSWER_INVALID = define(
  5003,
  "PLATFORM_ANSWER_INVALID",
  502,
  "A platform service answered in an unexpected shape.",
);

// 6xxx: table edits and settings.

export const EDIT_CONFLICT = define(
  6001,
  "EDIT_CONFLICT",
  409,
  "Another edit changed the same row first.",
);
export const EDIT_INVALID = define(
  6002,
  "EDIT_INVALID",
  400,
  "The edit has faults; nothing was changed.",
);
export const REVISION_MISMATCH = define(
  6003,
  "REVISION_MISMATCH",
  409,
  "The table is at another revision than expected.",
);
export const SETTINGS_INVALID = define(
  6004,
  "SETTINGS_INVALID",
  400,
  "The settings have faults.",
);
export const EDIT_OUTCOME_UNKNOWN = define(
  6005,
  "EDIT_OUTCOME_UNKNOWN",
  502,
  "The edit may have taken effect; send it again with the same id.",
);

// 7xxx: internal errors.

export const INTERNAL = define(
  7001,
  "INTERNAL",
  500,
  "An unexpected fault; the log line names it.",
);
export const PEER_UNREACHABLE = define(
  7002,
  "PEER_UNREACHABLE",
  503,
  "A peer instance could not be reached.",
);
export const INSTANCE_STOPPED = define(
  7003,
  "INSTANCE_STOPPED",
  502,
  "The instance stopped before the request had ended.",
);

/** Every result code, in numeric order. */
export const RESULT_CODES: readonly ResultCode[] = [
  BODY_INVALID,
  BODY_TOO_LARGE,
  TOKEN_INVALID,
  MODEL_UNKNOWN,
  SERVICE_UNKNOWN,
  KEY_MISSING,
  KEY_INVALID,
  KEY_REUSED,
  DEADLINE_INVALID,
  ROUTE_UNKNOWN,
  ROLE_FORBIDDEN,
  BODY_TOO_SLOW,
  INSTANCE_LEAVING,
  INSTANCE_ISOLATED,
  DEADLINE_UNREACHABLE,
  LIMIT_REACHED,
  INSTANCE_FULL,
  MODEL_LOADING,
  DEADLINE_PASSED,
  RETRY_BUDGET_SPENT,
  TABLE_NOT_READY,
  UPSTREAM_UNREACHABLE,
  UPSTREAM_REFUSED,
  UPSTREAM_BROKE,
  ANSWER_FOREIGN,
  ANSWER_LATE,
  STREAM_BROKEN,
  NO_UPSTREAM,
  CLAIM_IN_FLIGHT,
  CLAIM_FATE_UNKNOWN,
  CLAIM_STORE_DOWN,
  OUTCOME_UNREADABLE,
  STORE_UNAVAILABLE,
  STORE_REPLY_LOST,
  PLATFORM_ANSWER_INVALID,
  EDIT_CONFLICT,
  EDIT_INVALID,
  REVISION_MISMATCH,
  SETTINGS_INVALID,
  EDIT_OUTCOME_UNKNOWN,
  INTERNAL,
  PEER_UNREACHABLE,
  INSTANCE_STOPPED,
];
