/** Shares the quarantine of prompt parts: between nodes, and by the store. */
import { create } from "@bufbuild/protobuf";
import * as core from "../core/mod.ts";
import * as mirror from "../mirror/mod.ts";
import * as peers from "../peers/mod.ts";
import type * as quarantine from "../quarantine/mod.ts";
import type * as store from "../store/mod.ts";
import { NODE_TABLE } from "./entry_members.ts";
import type { EntryState } from "./entry_state.ts";

/** Prefix of the rows of quarantined parts in the node table. */
const QUARANTINE_PREFIX = "quarantine/";
/** Interval at which rows that are due are written or deleted. */
const ROWS_INTERVAL_MS = 200;
/** Nodes write a missing row one after the other, until one has written it. */
const WRITE_TURN_MS = 300;
/** Time after which a part is released, so that a fixed engine serves it. */
const HOLD_MS = 30 * 60_000;

/** The fields of a message that carry the quarantine. */
export interface QuarantineFields {
  readonly quarantineTag: string;
  readonly quarantine?: peers.QuarantineNews;
}

/** Exchanges the quarantine with the parent and the children of a node. */
export class QuarantineExchange {
  readonly #quarantine: quarantine.PromptQuarantine;
  #parent: string | undefined;
  #parentTag = "";

  constructor(promptQuarantine: quarantine.PromptQuarantine) {
    this.#quarantine = promptQuarantine;
  }

  /** Fields for the parent; the news only if it has another tag. */
  forParent(parent: string, nowMs: number): QuarantineFields {
    if (parent !== this.#parent) this.#parentTag = "";
    this.#parent = parent;
    return this.#fields(this.#parentTag, nowMs);
  }

  /** Fields for a child that has sent its tag. */
  forChild(childTag: string, nowMs: number): QuarantineFields {
    return this.#fields(childTag, nowMs);
  }

  applyFromParent(
    { quarantineTag, quarantine: news }: QuarantineFields,
    nowMs: number,
  ): void {
    this.#parentTag = quarantineTag;
    this.apply(news, nowMs);
  }

  /** Applies the news of another node, if it sent any. */
  apply(news: peers.QuarantineNews | undefined, nowMs: number): void {
    if (news) this.#quarantine.merge(news, nowMs);
  }

  #fields(theirTag: string, nowMs: number): QuarantineFields {
    const quarantineTag = this.#quarantine.tag(nowMs);
    if (quarantineTag === "" || quarantineTag === theirTag) {
      return { quarantineTag };
    }
    const { refusals, evidence, holds } = this.#quarantine.report(nowMs);
    const news = create(peers.QuarantineNewsSchema, {
      refusals: refusals.map((refusal) => ({ ...refusal })),
      evidence: evidence.map(({ part, crashes, survivedAgeMs }) => ({
        part,
        crashes: crashes.map((crash) => ({ ...crash })),
        ...(survivedAgeMs === undefined ? {} : { survivedAgeMs }),
      })),
      holds: holds.map((hold) => ({ ...hold })),
    });
    return { quarantineTag, quarantine: news };
  }
}

/** Applies the rows of quarantined parts. */
export class QuarantineListener extends mirror.TableListener {
  readonly #quarantine: quarantine.PromptQuarantine;

  constructor(promptQuarantine: quarantine.PromptQuarantine) {
    super();
    this.#quarantine = promptQuarantine;
  }

  override applySnapshot({ rows }: store.TableSnapshot): void {
    // A restored store may lack rows that were written, which are not releases.
    this.#quarantine.noteRestored();
    for (const row of rows) this.applyChange(row);
  }

  override applyChange({ key, value }: store.RowChange): void {
    if (!key.startsWith(QUARANTINE_PREFIX)) return;
    const part = core.brandId<core.PromptPartKey>(
      key.slice(QUARANTINE_PREFIX.length),
    );
    const nowMs = core.monotonicMs();
    if (value === undefined) this.#quarantine.release(part, nowMs);
    else this.#quarantine.applyRow(part, nowMs);
  }
}

/** Passes a table's rows to several listeners, which pick theirs by key. */
export class CombinedListener extends mirror.TableListener {
  readonly #listeners: readonly mirror.TableListener[];

  constructor(listeners: readonly mirror.TableListener[]) {
    super();
    this.#listeners = listeners;
  }

  override applySnapshot(snapshot: store.TableSnapshot): void {
    for (const listener of this.#listeners) listener.applySnapshot(snapshot);
  }

  override applyChange(change: store.RowChange): void {
    for (const listener of this.#listeners) listener.applyChange(change);
  }
}

/**
 * Writes the rows of quarantined parts, so that nodes that start later and
 * nodes without contact to the others hold them too, and deletes old ones.
 */
export class QuarantineRowsTask extends core.Task {
  override readonly name = "quarantine-rows";
  readonly #state: EntryState;
  readonly #store: store.TableService;

  constructor(state: EntryState, tableService: store.TableService) {
    super();
    this.#state = state;
    this.#store = tableService;
  }

  override async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await core.sleep(core.jitterMs(ROWS_INTERVAL_MS), signal);
      if (this.#state.quarantine.size > 0) await this.#writeDue();
    }
  }

  async #writeDue(): Promise<void> {
    const { quarantine: held, members, settings } = this.#state;
    const nowMs = core.monotonicMs();
    const rank = members.alive().indexOf(settings.nodeName);
    const missing = held.unrecorded(rank * WRITE_TURN_MS, nowMs);
    const expired = rank === 0 ? held.heldFor(HOLD_MS, nowMs) : [];
    if (missing.length + expired.length === 0) return;
    const outcome = await this.#store.transact({
      checks: [],
      writes: [
        ...missing.map((part) => ({
          key: rowKey(part),
          value: { heldBy: settings.nodeName },
        })),
        ...expired.map((part) => ({ key: rowKey(part), value: null })),
      ],
    });
    this.#state.logger.info("quarantine_rows_written", {
      held: missing.length,
      released: expired.length,
      outcome: outcome.isOk() ? outcome.value.outcome : outcome.error.detail,
    });
  }
}

function rowKey(part: core.PromptPartKey): string {
  return `${NODE_TABLE}/${QUARANTINE_PREFIX}${part}`;
}
