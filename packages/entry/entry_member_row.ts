/** Writes the row by which a node registers itself in the store. */
import * as core from "../core/mod.ts";
import type * as store from "../store/mod.ts";
import { toMachineRow } from "./capacity/entry_machine_row.ts";
import { MEMBER_PREFIX, type MemberRow, NODE_TABLE } from "./entry_members.ts";
import type { EntryState } from "./entry_state.ts";

/** Interval at which the member row is written, if it has to be. */
const RETRY_MS = 300;

/**
 * Writes this node's member row, and again after each restore of the store,
 * whose copy may lack it. Retries until the store has committed it.
 */
export class MemberRowTask extends core.Task {
  override readonly name = "member-row";
  readonly #state: EntryState;
  readonly #store: store.ChangeFeedTableService;
  /** Generation of the store in which the row was written. */
  #writtenGeneration: number | undefined;

  constructor(state: EntryState, tables: store.ChangeFeedTableService) {
    super();
    this.#state = state;
    this.#store = tables;
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isWritten = this.#writtenGeneration === this.#store.generation;
      if (!isWritten && !this.#state.isStopping) await this.write(false);
      await core.sleep(core.jitterMs(RETRY_MS), signal);
    }
  }

  /** Writes the row once. */
  async write(isLeaving: boolean): Promise<void> {
    const { settings, incarnation, logger } = this.#state;
    const { callers, peers } = settings.listen;
    const machine = toMachineRow(settings.machine);
    const row: MemberRow = {
      callerAddress: `${callers.host}:${callers.port}`,
      peerAddress: `${peers.host}:${peers.port}`,
      failureDomain: settings.failureDomain,
      incarnation,
      isLeaving,
      ...(machine ? { machine } : {}),
    };
    const outcome = await this.#store.transact({
      checks: [],
      writes: [{
        key: `${NODE_TABLE}/${MEMBER_PREFIX}${settings.nodeName}`,
        value: core.toJsonValue(row),
      }],
    });
    if (outcome.isErr()) {
      const { detail } = outcome.error;
      logger.warn("member_row_not_written", { isLeaving, detail });
      return;
    }
    this.#writtenGeneration = this.#store.generation;
  }
}
