/** HTTP client for tests, with the texts expected from the fake engines. */
import { request } from "undici";
import * as fakes from "../fakes/mod.ts";
import { CALLER_TOKENS } from "./testing_settings.ts";

/** A response as a caller received it. */
export interface CallerResponse {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

/** A chat completion request. */
export interface CompletionCall {
  readonly model: string;
  readonly prompt: string;
  /** Output tokens requested. */
  readonly tokens?: number;
  /** Bearer token of the caller; that of `kiosk` by default. */
  readonly token?: string;
  readonly deadlineMs?: number;
}

/** The result of a streamed completion. */
export interface StreamResult {
  readonly status: number;
  readonly text: string;
  /** Whether the end marker was received. */
  readonly isComplete: boolean;
  /**
   * The error event, the body of a rejection, or the connection failure under
   * `cut`.
   */
  readonly error: Record<string, unknown> | undefined;
}

const TOKENS_DEFAULT = 8;

function buildHeaders(call: {
  token?: string;
  deadlineMs?: number;
}): Record<string, string> {
  return {
    "content-type": "application/json",
    authorization: `Bearer ${call.token ?? CALLER_TOKENS.kiosk}`,
    ...(call.deadlineMs === undefined
      ? {}
      : { "carawaywind-deadline-ms": String(call.deadlineMs) }),
  };
}

function buildBody(call: CompletionCall, stream: boolean): string {
  return JSON.stringify({
    model: call.model,
    messages: [{ role: "user", content: call.prompt }],
    max_tokens: call.tokens ?? TOKENS_DEFAULT,
    stream,
  });
}

function parseBody(text: string): Record<string, unknown> {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    return { text };
  }
}

/** Requests a completion without streaming. */
export async function complete(
  origin: string,
  call: CompletionCall,
): Promise<CallerResponse> {
  const response = await request(`${origin}/v1/chat/completions`, {
    method: "POST",
    headers: buildHeaders(call),
    body: buildBody(call, false),
  });
  const body = parseBody(await response.body.text());
  return { status: response.statusCode, body };
}

/** Returns the text of a non-streamed completion; empty if there is none. */
export function completionText(response: CallerResponse): string {
  const choices = response.body.choices as
    | { message: { content: string } }[]
    | undefined;
  return choices?.[0]?.message.content ?? "";
}

/** Returns the only correct text for a call, given the model's version. */
export function expectedText(call: CompletionCall, version = "1"): string {
  const artifactId = `${call.model}@${version}`;
  const count = call.tokens ?? TOKENS_DEFAULT;
  return fakes.expectedCompletion(artifactId, call.prompt, count);
}

/**
 * Requests a streamed completion and reads it to its end.
 *
 * @param onText receives the text so far after each event that adds to it.
 * @param onEvent receives each event that has an id.
 */
export async function stream(
  origin: string,
  call: CompletionCall,
  onText: (text: string) => void = () => undefined,
  onEvent: (event: Record<string, unknown>) => void = () => undefined,
): Promise<StreamResult> {
  const response = await request(`${origin}/v1/chat/completions`, {
    method: "POST",
    headers: buildHeaders(call),
    body: buildBody(call, true),
  });
  const status = response.statusCode;
  if (status !== 200) {
    const error = parseBody(await response.body.text());
    return { status, text: "", isComplete: false, error };
  }
  return { status, ...await readStream(response.body, onText, onEvent) };
}

async function readStream(
  body: AsyncIterable<Uint8Array>,
  onText: (text: string) => void,
  onEvent: (event: Record<string, unknown>) => void,
): Promise<Omit<StreamResult, "status">> {
  let text = "";
  let isComplete = false;
  let error: Record<string, unknown> | undefined;
  let buffered = "";
  const decoder = new TextDecoder();
  const handleData = (data: string) => {
    if (data === "[DONE]") {
      isComplete = true;
      return;
    }
    const event = parseBody(data);
    if (event.id !== undefined) onEvent(event);
    if (event.error) error = event.error as Record<string, unknown>;
    const choices = event.choices as
      | { delta: { content?: string } }[]
      | undefined;
    const deltaText = choices?.[0]?.delta.content ?? "";
    text += deltaText;
    if (deltaText) onText(text);
  };
  try {
    for await (const bytes of body) {
      buffered += decoder.decode(bytes, { stream: true });
      const events = buffered.split("\n\n");
      buffered = events.pop() ?? "";
      for (const event of events) {
        const line = event.split("\n").find((l) => l.startsWith("data: "));
        if (line) handleData(line.slice("data: ".length));
      }
    }
  } catch (thrown) {
    error ??= { cut: String(thrown) };
  }
  return { text, isComplete, error };
}

/** A call of a plain service. */
export interface ServiceCall {
  readonly service: string;
  readonly path: string;
  readonly body: unknown;
  /** Idempotency key. */
  readonly key?: string;
  readonly token?: string;
  readonly deadlineMs?: number;
}

/** Calls a plain service through an entry. */
export async function callService(
  origin: string,
  call: ServiceCall,
): Promise<CallerResponse> {
  const response = await request(
    `${origin}/v1/services/${call.service}/${call.path}`,
    {
      method: "POST",
      headers: {
        ...buildHeaders(call),
        ...(call.key === undefined ? {} : { "idempotency-key": call.key }),
      },
      body: JSON.stringify(call.body),
    },
  );
  const body = parseBody(await response.body.text());
  return { status: response.statusCode, body };
}
