/** What became of one attempt's prompt, as evidence for the quarantine. */
import type * as core from "../core/mod.ts";
import type * as quarantine from "../quarantine/mod.ts";
import type * as relay from "../relay/mod.ts";

/** Time with output after which a request has not ended its engine. */
const SURVIVAL_MS = 1_000;

/** Follows one attempt from its first output to its end. */
export class PromptFate {
  readonly #quarantine: quarantine.PromptQuarantine;
  readonly #run: core.UpstreamRunKey;
  readonly #parts: readonly core.PromptPartKey[];
  #outputAtMs: number | undefined;
  #hasSurvived = false;

  constructor(
    promptQuarantine: quarantine.PromptQuarantine,
    run: core.UpstreamRunKey,
    parts: readonly core.PromptPartKey[],
  ) {
    this.#quarantine = promptQuarantine;
    this.#run = run;
    this.#parts = parts;
  }

  recordOutput(nowMs: number): void {
    this.#outputAtMs ??= nowMs;
  }

  /** Bytes of the response arrived, some time after its first event or not. */
  recordBytes(nowMs: number): void {
    if (this.#hasSurvived || this.#outputAtMs === undefined) return;
    if (nowMs - this.#outputAtMs >= SURVIVAL_MS) this.recordSurvival(nowMs);
  }

  recordSurvival(nowMs: number): void {
    this.#hasSurvived = true;
    this.#quarantine.recordSurvival(this.#parts, nowMs);
  }

  recordFailure(cause: relay.AttemptFailure["cause"], nowMs: number): void {
    if (cause === "refused") this.#quarantine.recordRefusal(this.#run, nowMs);
    if (cause !== "broken" || this.#hasSurvived) return;
    this.#quarantine.recordBroken(this.#run, this.#parts, nowMs);
  }
}
