/** Which team a request belongs to, and whether its key is in force. */
import { err, ok, type Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";
import * as core from "../../core/mod.ts";
import type * as fleet from "../../fleet/mod.ts";
import * as teams from "../../teams/mod.ts";
import type { EntryState } from "../entry_state.ts";

const STATUS_UNAUTHORIZED = 401;
const STATUS_UNAVAILABLE = 503;
/**
 * Retry-After while this node cannot tell which keys are in force. Other nodes
 * can, and callers connect anew for a retry.
 */
const NOT_CURRENT_RETRY_AFTER_MS = 500;
/** Interval between log lines about a configuration that is not current. */
const LOG_INTERVAL_MS = 1_000;

/** Why a request is rejected; it has not run. */
export interface AccessRejection {
  readonly status: number;
  readonly reason: string;
  readonly retryAfterMs?: number;
}

/** What the check needs of the node's other parts. */
export interface AccessSources {
  /** Start of the read that last confirmed the configuration. */
  readonly configAsOfMs: () => number;
  /** Reads the clocks, so that a suspension of the process is noticed. */
  readonly readClock: () => number;
}

/** Used where nothing bounds the time for which a removed key may be used. */
const ALWAYS_CURRENT: AccessSources = {
  configAsOfMs: () => Infinity,
  readClock: core.monotonicMs,
};

/** Checks the keys of requests against the configuration in force. */
export class TeamAccess {
  readonly #state: EntryState;
  readonly #dialect: fleet.HttpDialect;
  readonly #sources: AccessSources;
  #loggedAtMs = -Infinity;

  constructor(
    state: EntryState,
    dialect: fleet.HttpDialect,
    sources = ALWAYS_CURRENT,
  ) {
    this.#state = state;
    this.#dialect = dialect;
    this.#sources = sources;
  }

  /**
   * Returns the team of a request; undefined if the configuration has no teams,
   * or the route is public and the caller presents no key that is in force.
   *
   * @returns an error if the request must not run.
   * @example
   * ```ts
   * const team = access.check(request.headers, route);
   * if (team.isErr()) return reject(team.error.status);
   * ```
   */
  check(
    headers: IncomingHttpHeaders,
    route: fleet.RouteSpec,
  ): Result<fleet.TeamSpec | undefined, AccessRejection> {
    const { teams: directory } = this.#state;
    if (!directory) return ok(undefined);
    const digest = this.#dialect.readKey(headers);
    const team = digest && directory.findByKey(digest);
    if (route.isPublic) return ok(team);
    if (!this.#isCurrent()) return err(this.#notCurrent());
    if (team) return ok(team);
    const reason = digest ? "key is not in force" : "key is missing";
    this.#state.metrics.increment("keys_refused");
    return err({ status: STATUS_UNAUTHORIZED, reason });
  }

  #isCurrent(): boolean {
    const { settings, isConfigUnreadable } = this.#state;
    const { revocationMs } = settings;
    if (revocationMs === undefined) return true;
    const nowMs = this.#sources.readClock();
    const asOfMs = this.#sources.configAsOfMs();
    return !isConfigUnreadable && teams.isTrusted(asOfMs, nowMs, revocationMs);
  }

  #notCurrent(): AccessRejection {
    const { metrics, logger, config, isConfigUnreadable } = this.#state;
    metrics.increment("keys_not_current");
    const nowMs = core.monotonicMs();
    if (nowMs - this.#loggedAtMs >= LOG_INTERVAL_MS) {
      this.#loggedAtMs = nowMs;
      const ageMs = nowMs - this.#sources.configAsOfMs();
      logger.warn("keys_not_current", {
        configVersion: config?.version,
        ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
        unreadable: isConfigUnreadable || undefined,
      });
    }
    return {
      status: STATUS_UNAVAILABLE,
      reason: "configuration is not current",
      retryAfterMs: NOT_CURRENT_RETRY_AFTER_MS,
    };
  }
}
