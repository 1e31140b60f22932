/**
 * Tells the other nodes which software version began each stream. Origins go up
 * the tree to the root, which also writes them to the store; a node that lacks
 * one asks its parent.
 */
import { create } from "@bufbuild/protobuf";
import * as core from "../core/mod.ts";
import type * as origins from "../origins/mod.ts";
import * as peers from "../peers/mod.ts";
import type { EntryState } from "./entry_state.ts";

/** Origins in one message; the rest follows in the next. */
const BATCH_MAX = 500;
/** Time for which a node asks its parent for an origin that it was asked for. */
const WANTED_FOR_MS = 500;
/** Streams that are asked for at the same time. */
const WANTED_MAX = 500;

/** The streams whose origins this node or a child is looking for. */
export class WantedStreams {
  readonly #untilMs = new Map<core.StreamKey, number>();

  /** Asks for a stream's origin for a while. */
  add(stream: core.StreamKey, nowMs: number): void {
    if (this.#untilMs.size >= WANTED_MAX) this.list(nowMs);
    if (this.#untilMs.size >= WANTED_MAX) return;
    this.#untilMs.set(stream, nowMs + WANTED_FOR_MS);
  }

  /** Stops asking for a stream's origin. */
  remove(stream: core.StreamKey): void {
    this.#untilMs.delete(stream);
  }

  /** Returns the wanted streams. */
  list(nowMs: number): core.StreamKey[] {
    for (const [stream, untilMs] of this.#untilMs) {
      if (untilMs <= nowMs) this.#untilMs.delete(stream);
    }
    return [...this.#untilMs.keys()];
  }
}

/** Exchanges origins with the parent and the children of a node. */
export class OriginExchange {
  readonly #state: EntryState;
  #parent: string | undefined;
  #parentIncarnation = "";
  #deliveredPosition = 0;
  #sentPosition = 0;

  constructor(state: EntryState) {
    this.#state = state;
  }

  /** Fields for the parent: origins that it lacks, and wanted streams. */
  forParent(
    parent: string,
    nowMs: number,
  ): Pick<peers.NodeDigest, "origins" | "wantedStreams"> {
    if (parent !== this.#parent) this.#deliveredPosition = 0;
    this.#parent = parent;
    const batch = this.#state.origins
      .since(this.#deliveredPosition, BATCH_MAX, nowMs);
    this.#sentPosition = batch.position;
    return {
      origins: batch.origins.map(toMessage),
      wantedStreams: this.#state.wantedStreams.list(nowMs),
    };
  }

  /** The parent has answered: it has what was sent, and tells what it knows. */
  applyFromParent(
    { origins: found, incarnation }: peers.FleetView,
    nowMs: number,
  ): void {
    // A parent that has started anew lacks what was sent before.
    const isSame = this.#parentIncarnation === incarnation ||
      this.#deliveredPosition === 0;
    this.#parentIncarnation = incarnation;
    this.#deliveredPosition = isSame ? this.#sentPosition : 0;
    this.#record(found, nowMs);
  }

  /** The parent did not answer; one that starts anew has lost all origins. */
  forgetParent(): void {
    this.#parent = undefined;
  }

  /** Records a child's origins, and returns those that it is looking for. */
  exchange(digest: peers.NodeDigest, nowMs: number): peers.StreamOrigin[] {
    this.#record(digest.origins, nowMs);
    const wanted = digest.wantedStreams
      .map((stream) => core.brandId<core.StreamKey>(stream));
    const found = this.#state.origins.report(wanted, nowMs);
    const foundStreams = new Set(found.map(({ stream }) => stream));
    for (const stream of wanted) {
      if (!foundStreams.has(stream)) {
        this.#state.wantedStreams.add(stream, nowMs);
      }
    }
    return found.map(toMessage);
  }

  #record(messages: readonly peers.StreamOrigin[], nowMs: number): void {
    for (const { stream, service, softwareVersion, ttlMs } of messages) {
      const key = core.brandId<core.StreamKey>(stream);
      this.#state.wantedStreams.remove(key);
      this.#state.origins.record({
        stream: key,
        service: core.brandId<core.ServiceName>(service),
        softwareVersion: core.brandId<core.SoftwareVersion>(softwareVersion),
        ttlMs,
      }, nowMs);
    }
  }
}

function toMessage(origin: origins.ReportedOrigin): peers.StreamOrigin {
  return create(peers.StreamOriginSchema, { ...origin });
}
