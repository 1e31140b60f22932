/** Polls the platform's instance list. */
import * as core from "../../core/mod.ts";
import type * as peers from "../../peers/mod.ts";
import type * as store from "../../store/mod.ts";
import type * as routing from "../../routing/mod.ts";

const INTERVAL_MIN_MS = 1_000;
/** Poll interval per listed instance, so that list traffic stays bounded. */
const INTERVAL_PER_INSTANCE_MS = 100;

/** Polls the list and merges it into the directory and the fleet. */
export class PeersListTask extends core.Task {
  override readonly name = "poll-instance-list";
  readonly #instanceList: store.InstanceList;
  readonly #directory: peers.PeerDirectory;
  readonly #fleet: routing.Fleet;

  constructor(
    instanceList: store.InstanceList,
    directory: peers.PeerDirectory,
    fleet: routing.Fleet,
  ) {
    super();
    this.#instanceList = instanceList;
    this.#directory = directory;
    this.#fleet = fleet;
  }

  override async run(signal: AbortSignal): Promise<void> {
    let intervalMs = INTERVAL_MIN_MS;
    do {
      const instances = await this.#instanceList.list();
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
