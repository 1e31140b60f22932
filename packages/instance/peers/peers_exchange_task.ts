/** Sends heartbeats by exchanging digests with a bounded number of peers. */
import * as core from "../../core/mod.ts";
import type * as peers from "../../peers/mod.ts";
import * as table from "../../table/mod.ts";
import type { DigestManager } from "./peers_digest.ts";

/** Minimum fan-out of an update, so that it reaches all peers in few rounds. */
const UPDATE_FANOUT = 3;
/** Maximum number of failing peers that are contacted in each round. */
const FAILING_PEERS_MAX = 4;

/** Dependencies and settings of the exchange. */
export interface ExchangeOptions {
  readonly directory: peers.PeerDirectory;
  readonly clients: peers.PeerClients;
  readonly digests: DigestManager;
  readonly tableCache: table.TableCache;
  readonly intervalMs: number;
  readonly fanout: number;
  /** Number of in-flight requests, which peers use as this instance's load. */
  readonly load: () => number;
}

/** Exchanges digests at intervals, and immediately when there is an update. */
export class PeersExchangeTask extends core.Task {
  override readonly name = "exchange-digests";
  readonly #options: ExchangeOptions;
  #nextIndex = 0;
  readonly #wakeSignal = new core.WakeSignal();

  constructor(options: ExchangeOptions) {
    super();
    this.#options = options;
  }

  override async run(signal: AbortSignal): Promise<void> {
    const { directory, load, fanout, intervalMs } = this.#options;
    let hasUpdate = false;
    while (!signal.aborted) {
      directory.advanceHeartbeat(load());
      const count = hasUpdate ? Math.max(fanout, UPDATE_FANOUT) : fanout;
      await this.exchangeWith(this.#nextPeers(count));
      hasUpdate = await this.#wakeSignal.wait(
        core.jitterMs(intervalMs),
        signal,
      );
    }
  }

  /** Starts the next exchange without waiting for the interval to end. */
  exchangeSoon(): void {
    this.#wakeSignal.wake();
  }

  /** Exchanges digests with every known peer. */
  async exchangeWithAll(): Promise<void> {
    await this.exchangeWith(this.#options.directory.peerAddresses());
  }

  /** Exchanges digests with the given peers concurrently. */
  async exchangeWith(addresses: readonly string[]): Promise<void> {
    await Promise.all(addresses.map((address) => this.#exchange(address)));
  }

  /** Fetches a peer's table if it is newer than the local one. */
  async fetchTableIfNewer(
    peerAddress: string,
    revision: number,
  ): Promise<void> {
    const { clients, tableCache } = this.#options;
    const ownRevision = tableCache.snapshot.revision;
    if (
      revision < ownRevision ||
      (revision === ownRevision && tableCache.hasSnapshot)
    ) return;
    const reply = await clients.fetchTable(
      peerAddress,
      ownRevision,
      tableCache.hasSnapshot,
    );
    if (reply?.deltaJson) {
      table.decodeDelta(reply.deltaJson).map((delta) =>
        tableCache.applyDelta(delta)
      );
    }
    if (reply?.snapshotJson) {
      table.decodeSnapshot(reply.snapshotJson).map((snapshot) =>
        tableCache.applyIfNewer(snapshot)
      );
    }
  }

  async #exchange(address: string): Promise<void> {
    const { clients, digests } = this.#options;
    const reply = await clients.exchange(address, digests.build());
    if (typeof reply === "string") {
      this.#options.directory.recordFailedExchange(
        address,
        reply === "refused",
      );
      return;
    }
    await this.fetchTableIfNewer(address, digests.apply(reply));
  }

  /**
   * Peers whose last exchange failed, then the next ones in round-robin order,
   * so that every peer is contacted equally often.
   */
  #nextPeers(count: number): string[] {
    const { directory } = this.#options;
    const addresses = directory.peerAddresses();
    if (addresses.length <= count) return addresses;
    const start = this.#nextIndex;
    this.#nextIndex = (this.#nextIndex + count) % addresses.length;
    const next = Array.from(
      { length: count },
      (_, index) => addresses[(start + index) % addresses.length] ?? "",
    );
    const failing = directory.failingAddresses().slice(0, FAILING_PEERS_MAX);
    return [...new Set([...failing, ...next])];
  }
}
