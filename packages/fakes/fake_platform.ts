/** The object store, the instance list and the weight store in memory. */
import { setTimeout as delay } from "node:timers/promises";
import { FakeServer } from "./fake_server.ts";

/** An object store. */
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

/** One line of the list, as the platform was told it. */
export interface FakeListedInstance {
  id: string;
  kind: string;
  address: string;
  failureDomain: string;
  state: string;
  service?: string;
  peerAddress?: string;
}

/** An instance list whose readers see it some time late. */
export class FakeInstanceList extends FakeServer {
  readonly instances = new Map<string, FakeListedInstance>();
  readonly #lagMs: number;
  #published: FakeListedInstance[] = [];
  #showsFirst = false;

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

  /** Lists or changes one instance. */
  put(instance: FakeListedInstance): void {
    this.instances.set(instance.id, instance);
    this.#publishLater();
  }

  /** Takes one instance off the list. */
  remove(id: string): void {
    this.instances.delete(id);
    this.#publishLater();
  }

  /** Shows later listings at once, but never a change to a listed one. */
  publishAdditionsOnly(): void {
    this.#showsFirst = true;
  }

  #publishLater(): void {
    const state = [...this.instances.values()];
    if (this.#showsFirst) {
      const shown = new Map(this.#published.map((item) => [item.id, item]));
      this.#published = state.map((item) => shown.get(item.id) ?? item);
      return;
    }
    setTimeout(() => this.#published = state, this.#lagMs).unref();
  }
}

/** How the weight store's bandwidth is limited. */
export interface FakeWeightStoreOptions {
  /** How long a model load takes at full speed, in milliseconds. */
  readonly modelLoadMs: number;
  readonly modelsAtOnceMax: number;
  /** How long an adapter load takes at full speed, in milliseconds. */
  readonly adapterLoadMs: number;
  readonly adaptersAtOnceMax: number;
}

/** A weight store where loads slow each other down past a limit. */
export class FakeWeightStore extends FakeServer {
  loads = 0;
  peakModels = 0;
  peakAdapters = 0;
  #models = 0;
  #adapters = 0;
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
      this.#adapters++;
      this.peakAdapters = Math.max(this.peakAdapters, this.#adapters);
      const crowd = Math.max(1, this.#adapters / options.adaptersAtOnceMax);
      await delay(options.adapterLoadMs * crowd);
      this.#adapters--;
      return;
    }
    this.#models++;
    this.peakModels = Math.max(this.peakModels, this.#models);
    const crowd = Math.max(1, this.#models / options.modelsAtOnceMax);
    await delay(options.modelLoadMs * crowd);
    this.#models--;
  }
}
