/** Fakes of the object store, instance list and weight store, in memory. */
import { setTimeout as delay } from "node:timers/promises";
import { FakeServer } from "./fake_server.ts";

/** Object store that keeps text objects by name. */
export class FakeObjectStore extends FakeServer {
  readonly objects = new Map<string, string>();

  constructor() {
    super();
    this.app.put("/v1/objects/:name", async (c) => {
      this.objects.set(c.req.param("name"), await c.req.text());
      return c.json({});
    });
    this.app.get("/v1/objects/:name", (c) => {
      const text = this.objects.get(c.req.param("name"));
      return text === undefined ? c.notFound() : c.text(text);
    });
  }
}

/** One entry of the instance list. */
export interface FakeListedInstance {
  id: string;
  kind: string;
  address: string;
  failureDomain: string;
  state: string;
  service?: string;
  peerAddress?: string;
}

/** Instance list whose readers see changes `lagMs` late. */
export class FakeInstanceList extends FakeServer {
  readonly instances = new Map<string, FakeListedInstance>();
  readonly #lagMs: number;
  #published: FakeListedInstance[] = [];
  #hidesUpdates = false;

  constructor(lagMs = 0) {
    super();
    this.#lagMs = lagMs;
    this.app.get("/v1/instances", (c) => {
      const instances = this.#lagMs === 0
        ? [...this.instances.values()]
        : this.#published;
      return c.json({ instances });
    });
    this.app.put("/v1/instances/:id", async (c) => {
      this.put(await c.req.json<FakeListedInstance>());
      return c.json({});
    });
    this.app.delete("/v1/instances/:id", (c) => {
      this.remove(c.req.param("id"));
      return c.json({});
    });
  }

  /** Adds an instance or replaces its entry. */
  put(instance: FakeListedInstance): void {
    this.instances.set(instance.id, instance);
    this.#schedulePublish();
  }

  /** Removes an instance. */
  remove(id: string): void {
    this.instances.delete(id);
    this.#schedulePublish();
  }

  /**
   * From now on publishes added and removed instances without delay, but no
   * change to an instance that readers already see. Needs a lag above 0.
   */
  hideUpdates(): void {
    this.#hidesUpdates = true;
  }

  #schedulePublish(): void {
    const listed = [...this.instances.values()];
    if (this.#hidesUpdates) {
      const publishedById = new Map(
        this.#published.map((item) => [item.id, item]),
      );
      this.#published = listed.map((item) =>
        publishedById.get(item.id) ?? item
      );
      return;
    }
    setTimeout(() => this.#published = listed, this.#lagMs).unref();
  }
}

/** Bandwidth limits of the fake weight store. */
export interface FakeWeightStoreOptions {
  /** Duration of a model load at full bandwidth, in ms. */
  readonly modelLoadMs: number;
  /** Concurrent model loads beyond which each one takes longer. */
  readonly modelsAtOnceMax: number;
  /** Duration of an adapter load at full bandwidth, in ms. */
  readonly adapterLoadMs: number;
  /** Concurrent adapter loads beyond which each one takes longer. */
  readonly adaptersAtOnceMax: number;
}

/** Weight store whose loads share its bandwidth beyond a limit. */
export class FakeWeightStore extends FakeServer {
  loads = 0;
  peakModels = 0;
  peakAdapters = 0;
  #modelsLoading = 0;
  #adaptersLoading = 0;
  readonly #options: FakeWeightStoreOptions;

  constructor(options: FakeWeightStoreOptions) {
    super();
    this.#options = options;
    this.app.post("/v1/loads", async (c) => {
      const { adapter } = await c.req.json<{ adapter: boolean }>();
      await this.#load(adapter);
      return c.json({});
    });
    this.app.get(
      "/v1/artifacts/:id",
      (c) => c.json({ artifactId: c.req.param("id"), weightBytes: 1 }),
    );
    this.app.get("/counts", (c) =>
      c.json({
        loads: this.loads,
        peakModels: this.peakModels,
        peakAdapters: this.peakAdapters,
      }));
  }

  async #load(adapter: boolean): Promise<void> {
    this.loads++;
    const options = this.#options;
    if (adapter) {
      this.#adaptersLoading++;
      this.peakAdapters = Math.max(this.peakAdapters, this.#adaptersLoading);
      const slowdown = Math.max(
        1,
        this.#adaptersLoading / options.adaptersAtOnceMax,
      );
      await delay(options.adapterLoadMs * slowdown);
      this.#adaptersLoading--;
      return;
    }
    this.#modelsLoading++;
    this.peakModels = Math.max(this.peakModels, this.#modelsLoading);
    const slowdown = Math.max(1, this.#modelsLoading / options.modelsAtOnceMax);
    await delay(options.modelLoadMs * slowdown);
    this.#modelsLoading--;
  }
}
