/** A completion request as callers send it, checked. */
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
import { callerGone, callerTokens, readDeadline } from "./gateway_request.ts";
import type { GatewayContext, GatewayDependencies } from "./gateway_types.ts";

/** Tokens that an answer is taken to have when no maximum is given. */
const TOKENS_ASSUMED = 16;
/** Characters of the body that name its prefix. */
const PREFIX_CHARACTERS = 256;

const CompletionCodec = Codec.interface({
  model: string,
  messages: array(Codec.interface({ role: string, content: unknown })),
  stream: optional(nullable(boolean)),
  max_tokens: optional(nullable(number)),
  max_completion_tokens: optional(nullable(number)),
});

type CompletionBody = GetType<typeof CompletionCodec>;

/** One caller's completion on its way through. */
export interface Completion {
  readonly context: GatewayContext;
  readonly callerId: core.CallerId;
  readonly row: table.TableRow;
  readonly artifactId: core.ArtifactId;
  readonly bodyText: string;
  readonly streams: boolean;
  readonly tokensMax: number;
  readonly prefixHash: number;
  readonly deadline: core.Deadline;
  /** Aborted when the caller is gone. */
  readonly gone: AbortSignal;
}

/** Reads completion requests. */
export class CompletionReader {
  readonly #parts: GatewayDependencies;
  readonly #tokens;

  constructor(parts: GatewayDependencies) {
    this.#parts = parts;
    this.#tokens = callerTokens(parts.settings);
  }

  /** Reads and checks one request. */
  async read(
    context: GatewayContext,
  ): Promise<Result<Completion, core.Failure>> {
    const callerId = this.#tokens.find(context.req.header("authorization"));
    if (!callerId) return err(core.refuse(core.TOKEN_INVALID, "who is this?"));
    const text = await context.req.text();
    const decoded = core.decodeJson(text, CompletionCodec);
    if (decoded.isErr()) {
      return err(core.refuse(core.BODY_INVALID, decoded.error));
    }
    const body = decoded.value;
    const row = this.#parts.keeper.row(core.brandId(body.model))?.row;
    if (!row && this.#parts.keeper.isKnown) {
      return err(core.refuse(core.MODEL_UNKNOWN, `no row named ${body.model}`));
    }
    if (!row) return err(core.refuse(core.TABLE_NOT_READY, "no table yet"));
    const fault = tokensFault(body);
    if (fault) return err(core.refuse(core.BODY_INVALID, fault));
    return readDeadline(context, row.deadlineMs).map((deadline) => ({
      context,
      callerId,
      row,
      artifactId: table.artifactOf(row),
      bodyText: rewriteModel(text, table.artifactOf(row)),
      streams: body.stream ?? false,
      tokensMax: tokensOf(body) ?? TOKENS_ASSUMED,
      prefixHash: core.hash32(text.slice(0, PREFIX_CHARACTERS)),
      deadline,
      gone: callerGone(context),
    }));
  }
}

function rewriteModel(text: string, artifactId: core.ArtifactId): string {
  const body = JSON.parse(text) as Record<string, unknown>;
  return JSON.stringify({ ...body, model: artifactId });
}

function tokensOf(body: CompletionBody): number | undefined {
  return body.max_completion_tokens ?? body.max_tokens ?? undefined;
}

function tokensFault(body: CompletionBody): string | undefined {
  if (body.messages.length === 0) return "messages is empty";
  const tokens = tokensOf(body);
  if (tokens === undefined) return undefined;
  if (Number.isInteger(tokens) && tokens > 0) return undefined;
  return "max_tokens must be a positive whole number";
}
