/** Heartbeats: digests swapped with a bounded number of peers. */
import * as core from "../../core/mod.ts";
import type * as peers from "../../peers/mod.ts";
import * as table from "../../table/mod.ts";
import type { DigestBook } from "./peers_digest.ts";

/** Peers told at once when there is news, so that it spreads in few steps. */
const NEWS_FANOUT = 3;
/** Peers tried again at once after a failed exchange, at most. */
const DOUBTFUL_MAX = 4;

/** What the exchange needs. */
export interface ExchangeOptions {
  readonly directory: peers.PeerDirectory;
  readonly clients: peers.PeerClients;
  readonly digests: DigestBook;
  readonly keeper: table.TableKeeper;
  readonly intervalMs: number;
  readonly fanout: number;
  /** Requests in progress, for other instances to weigh. */
  readonly load: () => number;
}

/** Swaps digests at intervals, and at once when there is news. */
export class PeersExchangeTask extends core.Task {
  override readonly name = "exchange-digests";
  readonly #options: ExchangeOptions;
  #turn = 0;
  readonly #alarm = new core.Alarm();

  constructor(options: ExchangeOptions) {
    super();
    this.#options = options;
  }

  override async run(signal: AbortSignal): Promise<void> {
    const { directory, load, fanout, intervalMs } = this.#options;
    let isNews = false;
    while (!signal.aborted) {
      directory.advanceHeartbeat(load());
      const count = isNews ? Math.max(fanout, NEWS_FANOUT) : fanout;
      await this.exchangeWith(this.#nextPeers(count));
      isNews = await this.#alarm.pause(core.jitterMs(intervalMs), signal);
    }
  }

  /** Exchanges soon, without waiting for the interval to end. */
  pushSoon(): void {
    this.#alarm.ring();
  }

  /** Exchanges with every known peer. */
  async pushToAll(): Promise<void> {
    await this.exchangeWith(this.#options.directory.peerAddresses());
  }

  /** Exchanges with some peers, side by side. */
  async exchangeWith(addresses: readonly string[]): Promise<void> {
    await Promise.all(addresses.map((address) => this.#exchange(address)));
  }

  /** Fetches a peer's table if it is newer than ours. */
  async catchUp(peerAddress: string, revision: number): Promise<void> {
    const { clients, keeper } = this.#options;
    const own = keeper.snapshot.revision;
    if (revision < own || (revision === own && keeper.isKnown)) return;
    const reply = await clients.fetchTable(peerAddress, own, keeper.isKnown);
    if (reply?.deltaJson) {
      table.decodeDelta(reply.deltaJson).map((delta) =>
        keeper.offerDelta(delta)
      );
    }
    if (reply?.snapshotJson) {
      table.decodeSnapshot(reply.snapshotJson).map((snapshot) =>
        keeper.offer(snapshot)
      );
    }
  }

  async #exchange(address: string): Promise<void> {
    const { clients, digests } = this.#options;
    const reply = await clients.exchange(address, digests.make());
    if (typeof reply === "string") {
      this.#options.directory.recordFailedExchange(
        address,
        reply === "refused",
      );
      return;
    }
    await this.catchUp(address, digests.take(reply));
  }

  /** Doubtful peers, and the next ones in turn, each met equally often. */
  #nextPeers(count: number): string[] {
    const { directory } = this.#options;
    const addresses = directory.peerAddresses();
    if (addresses.length <= count) return addresses;
    const start = this.#turn;
    this.#turn = (this.#turn + count) % addresses.length;
    const next = Array.from(
      { length: count },
      (_, index) => addresses[(start + index) % addresses.length] ?? "",
    );
    const doubtful = directory.failingAddresses().slice(0, DOUBTFUL_MAX);
    return [...new Set([...doubtful, ...next])];
  }
}
