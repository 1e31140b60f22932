/** How callers' requests and upstreams' answers are written. */
import type { Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";
import type * as core from "../core/mod.ts";
import type { UpstreamRecord } from "./fleet_types.ts";

/** A piece of a prompt that other requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a caller's headers say of its request. */
export interface CallerRequest {
  readonly requestId: core.RequestId;
  /** Time the caller will wait, from receipt. */
  readonly deadlineMs?: number;
  readonly model?: core.ModelName;
  readonly adapter?: string;
  readonly promptTokens: number;
  readonly outputTokensMax: number;
  readonly promptParts: readonly PromptPart[];
  /** Headers to forward, hop-by-hop and system headers removed. */
  readonly forwardedHeaders: Readonly<Record<string, string | string[]>>;
}

/** What is added to a request on its way to an upstream. */
export interface UpstreamRequest {
  readonly caller: CallerRequest;
  readonly upstream: UpstreamRecord;
  readonly deadlineMs: number;
  readonly priority: number;
  /** Last event that the caller has, when a stream goes on elsewhere. */
  readonly lastEventId?: string;
}

/** What an upstream's headers say of its answer. */
export interface UpstreamResponse {
  readonly requestId?: string;
  /** Whether the upstream vouches for the answer. */
  readonly isSigned: boolean;
  /** Whether the upstream states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether the body was encoded on the way. */
  readonly isEncoded: boolean;
  /** Headers to return to the caller, hop-by-hop headers removed. */
  readonly returnedHeaders: Readonly<Record<string, string | string[]>>;
}

/** Translates headers between callers, this system and upstreams. */
export abstract class HttpDialect {
  abstract readRequest(
    headers: IncomingHttpHeaders,
  ): Result<CallerRequest, string>;
  abstract writeRequest(
    request: UpstreamRequest,
  ): Record<string, string | string[]>;
  abstract readResponse(
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): UpstreamResponse;
  /** Headers of an answer of our own. */
  abstract writeRejection(retryAfterMs?: number): Record<string, string>;
  /** Whether a path belongs to the platform, and which call it is. */
  abstract matchSystemEndpoint(path: string): "ready" | "directory" | undefined;
  /** Body of a directory answer. */
  abstract writeDirectory(
    addresses: readonly string[],
    ttlMs: number,
  ): string;
}
