/**
 * Tells whether what this node knows of the upstreams is current: it may have
 * stood still, or be cut off from the store and from the other nodes.
 */
import * as core from "../core/mod.ts";
import { MEMBER_TIMEOUT_MS } from "./entry_members.ts";
import type { EntryState } from "./entry_state.ts";

/** What waited in the connections of a node is read in this time. */
const DRAINED_AFTER_MS = 100;
/** Age of the list of upstreams from which on it may be outdated. */
const LIST_AGE_MAX_MS = 1_400;
/** Longest wait for the store or the other nodes, and its checks. */
const STEP_WAIT_MS = 400;
const STEP_POLL_MS = 10;

/** What the watch needs of the node's other parts. */
export interface StepSources {
  /** When the store last confirmed the list of upstreams to any node. */
  readonly listConfirmedAtMs: () => number;
  /** Reads the list from the store; false if it could not be read. */
  readonly readList: () => Promise<boolean>;
}

export class StepWatch {
  readonly #state: EntryState;
  readonly #sources: StepSources;
  readonly #suspension: core.SuspensionWatch;
  /** Start of the last read of the list that the store answered. */
  #listReadAtMs = -Infinity;

  constructor(
    state: EntryState,
    sources: StepSources,
    suspension = new core.SuspensionWatch(state.logger),
  ) {
    this.#state = state;
    this.#sources = sources;
    this.#suspension = suspension;
  }

  /** Whether the list of upstreams is current, as far as this node can tell. */
  isInStep(): boolean {
    const nowMs = this.#suspension.read();
    const { resumedAtMs } = this.#suspension;
    const { members } = this.#state;
    const confirmedAtMs = Math.max(
      this.#listReadAtMs + DRAINED_AFTER_MS,
      this.#sources.listConfirmedAtMs(),
    );
    const isConfirmed = confirmedAtMs > resumedAtMs &&
      nowMs - confirmedAtMs < LIST_AGE_MAX_MS;
    if (isConfirmed) return true;
    const sinceMs = Math.max(nowMs - MEMBER_TIMEOUT_MS, resumedAtMs);
    return members.countInContact(sinceMs) * 2 > members.count();
  }

  /**
   * Waits for a short time until the list is current.
   *
   * @returns whether it is.
   * @example
   * ```ts
   * if (!await stepWatch.awaitStep(signal)) return reject("out of step");
   * ```
   */
  async awaitStep(signal: AbortSignal): Promise<boolean> {
    if (this.isInStep()) return true;
    const startedAtMs = this.#suspension.read();
    this.#sources.readList().then((isRead) => {
      if (isRead) this.#listReadAtMs = startedAtMs;
    });
    const deadline = new core.Deadline(STEP_WAIT_MS);
    while (!deadline.isOver() && !signal.aborted) {
      await core.sleep(STEP_POLL_MS);
      if (this.isInStep()) return true;
    }
    return false;
  }
}
