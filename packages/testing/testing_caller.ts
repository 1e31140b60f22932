/** A caller that checks every answer. */
import { request } from "undici";
import * as fakes from "../fakes/mod.ts";
import { CALLER_TOKENS } from "./testing_settings.ts";

/** An answer as a caller got it. */
export interface CallerResponse {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

/** What a completion call may say. */
export interface CompletionCall {
  readonly model: string;
  readonly prompt: string;
  readonly tokens?: number;
  readonly token?: string;
  readonly deadlineMs?: number;
}

/** How a stream ended. */
export interface StreamResult {
  readonly status: number;
  readonly text: string;
  readonly isComplete: boolean;
  /** The error event, if there was one. */
  readonly error: Record<string, unknown> | undefined;
}

const TOKENS_DEFAULT = 8;

function headersOf(call: {
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

function bodyOf(call: CompletionCall, stream: boolean): string {
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

/** Asks for a whole completion. */
export async function complete(
  origin: string,
  call: CompletionCall,
): Promise<CallerResponse> {
  const answer = await request(`${origin}/v1/chat/completions`, {
    method: "POST",
    headers: headersOf(call),
    body: bodyOf(call, false),
  });
  const body = parseBody(await answer.body.text());
  return { status: answer.statusCode, body };
}

/** The text of a whole completion. */
export function completionText(answer: CallerResponse): string {
  const choices = answer.body.choices as
    | { message: { content: string } }[]
    | undefined;
  return choices?.[0]?.message.content ?? "";
}

/** The text that a call must be answered with. */
export function expectedText(call: CompletionCall, version = "1"): string {
  const artifactId = `${call.model}@${version}`;
  const count = call.tokens ?? TOKENS_DEFAULT;
  return fakes.expectedCompletion(artifactId, call.prompt, count);
}

/** Asks for a streamed completion and reads it to its end. */
export async function stream(
  origin: string,
  call: CompletionCall,
  onText: (text: string) => void = () => undefined,
  onEvent: (event: Record<string, unknown>) => void = () => undefined,
): Promise<StreamResult> {
  const answer = await request(`${origin}/v1/chat/completions`, {
    method: "POST",
    headers: headersOf(call),
    body: bodyOf(call, true),
  });
  const status = answer.statusCode;
  if (status !== 200) {
    const error = parseBody(await answer.body.text());
    return { status, text: "", isComplete: false, error };
  }
  return { status, ...await readStream(answer.body, onText, onEvent) };
}

async function readStream(
  body: AsyncIterable<Uint8Array>,
  onText: (text: string) => void,
  onEvent: (event: Record<string, unknown>) => void,
): Promise<Omit<StreamResult, "status">> {
  let text = "";
  let whole = false;
  let error: Record<string, unknown> | undefined;
  let buffered = "";
  const decoder = new TextDecoder();
  const take = (data: string) => {
    if (data === "[DONE]") {
      whole = true;
      return;
    }
    const event = parseBody(data);
    if (event.id !== undefined) onEvent(event);
    if (event.error) error = event.error as Record<string, unknown>;
    const choices = event.choices as
      | { delta: { content?: string } }[]
      | undefined;
    const piece = choices?.[0]?.delta.content ?? "";
    text += piece;
    if (piece) onText(text);
  };
  try {
    for await (const bytes of body) {
      buffered += decoder.decode(bytes, { stream: true });
      const events = buffered.split("\n\n");
      buffered = events.pop() ?? "";
      for (const event of events) {
        const line = event.split("\n").find((l) => l.startsWith("data: "));
        if (line) take(line.slice("data: ".length));
      }
    }
  } catch (thrown) {
    error ??= { cut: String(thrown) };
  }
  return { text, isComplete: whole, error };
}

/** What a service call may say. */
export interface ServiceCall {
  readonly service: string;
  readonly path: string;
  readonly body: unknown;
  readonly key?: string;
  readonly token?: string;
  readonly deadlineMs?: number;
}

/** Calls a plain service. */
export async function callService(
  origin: string,
  call: ServiceCall,
): Promise<CallerResponse> {
  const answer = await request(
    `${origin}/v1/services/${call.service}/${call.path}`,
    {
      method: "POST",
      headers: {
        ...headersOf(call),
        ...(call.key === undefined ? {} : { "idempotency-key": call.key }),
      },
      body: JSON.stringify(call.body),
    },
  );
  const body = parseBody(await answer.body.text());
  return { status: answer.statusCode, body };
}
