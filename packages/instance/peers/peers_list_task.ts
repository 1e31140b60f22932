/** Reads the platform's instance list. */
import * as core from "../../core/mod.ts";
import type * as peers from "../../peers/mod.ts";
import type * as store from "../../store/mod.ts";
import type * as routing from "../../routing/mod.ts";

const INTERVAL_MIN_MS = 1_000;
/** A long list is read less often, so that its bytes stay bounded. */
const INTERVAL_PER_INSTANCE_MS = 100;

/** Polls the list and tells the directory and the fleet. */
export class PeersListTask extends core.Task {
  override readonly name = "poll-instance-list";
  readonly #list: store.InstanceList;
  readonly #directory: peers.PeerDirectory;
  readonly #fleet: routing.Fleet;

  constructor(
    list: store.InstanceList,
    directory: peers.PeerDirectory,
    fleet: routing.Fleet,
  ) {
    super();
    this.#list = list;
    this.#directory = directory;
    this.#fleet = fleet;
  }

  override async run(signal: AbortSignal): Promise<void> {
    let intervalMs = INTERVAL_MIN_MS;
    do {
      const instances = await this.#list.list();
      if (instances.isErr()) continue;
      this.#directory.mergeList(instances.value);
      this.#fleet.mergeList(instances.value);
      intervalMs = Math.max(
        INTERVAL_MIN_MS,
        instances.value.length * INTERVAL_PER_INSTANCE_MS,
      );
    } while (await core.sleep(core.jitterMs(intervalMs), signal));
  }
}
