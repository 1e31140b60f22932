/** Reads and validates the callers' completion requests. */
import { err, type Result } from "neverthrow";
import {
  array,
  boolean,
  Codec,
  type GetType,
  nullable,
  number,
  optional,
  string,
  unknown,
} from "purify-ts";
import * as core from "../core/mod.ts";
import * as table from "../table/mod.ts";
import {
  makeAborter,
  makeCallerTokens,
  readDeadline,
} from "./gateway_request.ts";
import type { GatewayContext, GatewayDependencies } from "./gateway_types.ts";

/** Output tokens assumed for routing when the request sets no maximum. */
const DEFAULT_OUTPUT_TOKENS = 16;
/** Leading characters of the body that are hashed to identify its prefix. */
const PREFIX_CHARACTERS = 256;

const CompletionCodec = Codec.interface({
  model: string,
  messages: array(Codec.interface({ role: string, content: unknown })),
  stream: optional(nullable(boolean)),
  max_tokens: optional(nullable(number)),
  max_completion_tokens: optional(nullable(number)),
});

type CompletionBody = GetType<typeof CompletionCodec>;

/** A validated completion request. */
export interface CompletionRequest {
  readonly context: GatewayContext;
  readonly callerId: core.CallerId;
  readonly row: table.TableRow;
  readonly artifactId: core.ArtifactId;
  /** The caller's JSON body, with the artifact's id as the model. */
  readonly bodyText: string;
  readonly isStreaming: boolean;
  /** Maximum of output tokens, requested or assumed. */
  readonly tokensMax: number;
  /** Hash of the start of the body, for prefix-aware routing. */
  readonly prefixHash: number;
  readonly deadline: core.Deadline;
  /** Aborted when the caller disconnects, or the request must end. */
  readonly aborter: AbortController;
}

/** Authenticates callers and parses their completion requests. */
export class CompletionReader {
  readonly #dependencies: GatewayDependencies;
  readonly #callerTokens;

  constructor(dependencies: GatewayDependencies) {
    this.#dependencies = dependencies;
    this.#callerTokens = makeCallerTokens(dependencies.settings);
  }

  /** Reads one request, or returns why it is invalid. */
  async read(
    context: GatewayContext,
  ): Promise<Result<CompletionRequest, core.Failure>> {
    const callerId = this.#callerTokens.find(
      context.req.header("authorization"),
    );
    if (!callerId) return err(core.refuse(core.TOKEN_INVALID, "who is this?"));
    const text = await context.req.text();
    const decoded = core.decodeJson(text, CompletionCodec);
    if (decoded.isErr()) {
      return err(core.refuse(core.BODY_INVALID, decoded.error));
    }
    const body = decoded.value;
    const row = this.#dependencies.tableCache.row(core.brandId(body.model))
      ?.row;
    if (!row && this.#dependencies.tableCache.hasSnapshot) {
      return err(core.refuse(core.MODEL_UNKNOWN, `no row named ${body.model}`));
    }
    if (!row) return err(core.refuse(core.TABLE_NOT_READY, "no table yet"));
    const bodyError = findBodyError(body);
    if (bodyError) return err(core.refuse(core.BODY_INVALID, bodyError));
    return readDeadline(context, row.deadlineMs).map((deadline) => ({
      context,
      callerId,
      row,
      artifactId: table.artifactIdOf(row),
      bodyText: rewriteModel(text, table.artifactIdOf(row)),
      isStreaming: body.stream ?? false,
      tokensMax: requestedTokensOf(body) ?? DEFAULT_OUTPUT_TOKENS,
      prefixHash: core.hash32(text.slice(0, PREFIX_CHARACTERS)),
      deadline,
      aborter: makeAborter(context),
    }));
  }
}

function rewriteModel(text: string, artifactId: core.ArtifactId): string {
  const body = JSON.parse(text) as Record<string, unknown>;
  return JSON.stringify({ ...body, model: artifactId });
}

function requestedTokensOf(body: CompletionBody): number | undefined {
  return body.max_completion_tokens ?? body.max_tokens ?? undefined;
}

function findBodyError(body: CompletionBody): string | undefined {
  if (body.messages.length === 0) return "messages is empty";
  const tokens = requestedTokensOf(body);
  if (tokens === undefined) return undefined;
  if (Number.isInteger(tokens) && tokens > 0) return undefined;
  return "max_tokens must be a positive whole number";
}
