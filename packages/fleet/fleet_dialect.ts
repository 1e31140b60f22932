/** Interface to the HTTP headers and system endpoints of a platform. */
import type { Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";
import type * as core from "../core/mod.ts";
import type { UpstreamRecord } from "./fleet_types.ts";

/** A segment of a prompt that requests may share; engines cache prefixes. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A stream that broke off, which a request takes up again. */
export interface TakenUpStream {
  /** Last event that the caller has received. */
  readonly lastEventId: string;
  /** The caller's attempt that brought its first event, if named. */
  readonly firstRequestId?: core.RequestId;
}

/** A caller's request, as read from its headers. */
export interface CallerRequest {
  readonly requestId: core.RequestId;
  /** Time that the caller waits for the response, from receipt. */
  readonly deadlineMs?: number;
  readonly model?: core.ModelName;
  readonly adapter?: string;
  readonly promptTokens: number;
  readonly outputTokensMax: number;
  /** Whether the caller stated the token counts; else they are 0. */
  readonly statesTokens?: boolean;
  readonly promptParts: readonly PromptPart[];
  readonly takenUpStream?: TakenUpStream;
  /** Headers to forward, without hop-by-hop and system headers. */
  readonly forwardedHeaders: Readonly<Record<string, string | string[]>>;
}

/** The parameters of a request that is sent to an upstream. */
export interface UpstreamRequest {
  readonly caller: CallerRequest;
  readonly upstream: UpstreamRecord;
  /** Time left until the deadline. */
  readonly deadlineMs: number;
  readonly priority: number;
  /** Last event that the caller has received, if a stream is resumed. */
  readonly lastEventId?: string;
  /** Team that holds the caller's key. */
  readonly team?: core.TeamName;
}

/** How the headers of a caller's request are read. */
export interface ReadOptions {
  /** Whether the configuration has teams, so that keys are not forwarded. */
  readonly hasTeams: boolean;
}

/** How many requests an upstream takes, as it states itself. */
export interface NamedRateLimit {
  /** Requests per second from all nodes; undefined if it cannot be read. */
  readonly perS: number | undefined;
}

/** An upstream's response, as read from its status and headers. */
export interface UpstreamResponse {
  readonly requestId?: string;
  /** Whether the response carries the upstream's signature. */
  readonly isSigned: boolean;
  /** Whether the upstream states that it did not execute the request. */
  readonly isNotRun: boolean;
  /** Whether the upstream states that it is leaving. */
  readonly isLeaving: boolean;
  /** For how long the upstream wants no requests, if it asks for that. */
  readonly quietMs?: number;
  /** The rate limit that the response names, if it names one. */
  readonly rateLimit?: NamedRateLimit;
  /** Whether the body has a content encoding. */
  readonly isEncoded: boolean;
  /** Headers to return to the caller, without hop-by-hop headers. */
  readonly returnedHeaders: Readonly<Record<string, string | string[]>>;
}

/** What the client of a directory request says about itself. */
export interface DirectoryQuery {
  readonly name?: string;
  readonly failureDomain?: string;
}

/** Reads and writes the headers that the platform defines. */
export abstract class HttpDialect {
  /** Reads a caller's headers; the error says what is invalid. */
  abstract readRequest(
    headers: IncomingHttpHeaders,
    options?: ReadOptions,
  ): Result<CallerRequest, string>;
  /** Returns the digest of the key that a caller presents, if there is one. */
  readKey(_headers: IncomingHttpHeaders): core.KeyDigest | undefined {
    return undefined;
  }
  /** Returns the headers of a request to an upstream. */
  abstract writeRequest(
    request: UpstreamRequest,
  ): Record<string, string | string[]>;
  /** Reads the status and headers of an upstream's response. */
  abstract readResponse(
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): UpstreamResponse;
  /** Returns the headers of a response by which this node rejects a request. */
  abstract writeRejection(retryAfterMs?: number): Record<string, string>;
  /** Returns the system endpoint at a path, or undefined if there is none. */
  abstract matchSystemEndpoint(path: string): "ready" | "directory" | undefined;
  /** Reads who asks from the path of a directory request. */
  readDirectoryQuery(_path: string): DirectoryQuery {
    return {};
  }
  /** Returns the body of a directory response. */
  abstract writeDirectory(
    addresses: readonly string[],
    ttlMs: number,
  ): string;
}
