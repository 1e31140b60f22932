/** Starts the demo's fakes and entry instances, each as a separate process. */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type * as instance from "../instance/mod.ts";
import * as testing from "../testing/mod.ts";

const FAKES_MAIN = fileURLToPath(new URL("../fakes/main.js", import.meta.url));
const CLI_MAIN = fileURLToPath(new URL("../cli/main.js", import.meta.url));

const FAILURE_DOMAINS = ["calama", "antofagasta", "copiapo"];
const ENGINE_COUNT = 4;
const ENTRY_COUNT = 4;
const INSTANCE_LIST_LAG_MS = 500;

/** Process of a fake upstream or platform service. */
type FakeProcess = testing.StartedProcess<{ origin: string }>;

/** Process of an entry instance. */
type EntryProcess = testing.StartedProcess<instance.InstanceAddresses>;

/** All processes of the demo. */
export class DemoCluster {
  readonly entries: EntryProcess[] = [];
  readonly fakes = new Map<string, FakeProcess>();
  #directory = "";

  /** Starts the fakes, then the entry instances. */
  async start(): Promise<void> {
    this.#directory = await mkdtemp(join(tmpdir(), "carawaywind-demo-"));
    await Promise.all([
      this.#startFake("table-service", {}),
      this.#startFake("object-store", {}),
      this.#startFake("instance-list", { lagMs: INSTANCE_LIST_LAG_MS }),
      this.#startFake("weight-store", {
        modelLoadMs: 400,
        modelsAtOnceMax: 3,
        adapterLoadMs: 15,
        adaptersAtOnceMax: 24,
      }),
    ]);
    await this.#startUpstreams();
    for (let n = 1; n <= ENTRY_COUNT; n++) await this.#startEntry(n);
  }

  /** Origin of a fake, or the empty string if it was not started. */
  originOf(name: string): string {
    return this.fakes.get(name)?.ready.origin ?? "";
  }

  /** Ids of all processes, by name. */
  get pids(): Record<string, number> {
    const all = [...this.fakes.values(), ...this.entries];
    return Object.fromEntries(all.map(({ name, pid }) => [name, pid]));
  }

  /** Kills every process of the demo and deletes the settings files. */
  async stop(): Promise<void> {
    const all = [...this.entries, ...this.fakes.values()];
    await Promise.all(all.map((started) => started.kill()));
    await rm(this.#directory, { recursive: true, force: true });
  }

  async #startUpstreams(): Promise<void> {
    for (let n = 1; n <= ENGINE_COUNT; n++) {
      await this.#startUpstream(`engine-${n}`, "engine", n, {
        slots: 16,
        waitingMax: 64,
        firstTokenMs: 20,
        tokenMs: 3,
        honoursFencing: false,
        loadMs: 200,
        reportLagMs: 200,
        capacityBytes: 100,
        kvReserveBytes: 10,
        roleOverheadBytes: 5,
        weightStoreOrigin: this.originOf("weight-store"),
      });
    }
    await this.#startService("orders-2", "orders", 2);
    await this.#startService("orders-1", "orders", 1, [
      this.originOf("orders-2"),
    ]);
    await this.#startService("stock-1", "stock", 1);
  }

  #startService(
    upstreamId: string,
    service: string,
    n: number,
    siblingOrigins: readonly string[] = [],
  ): Promise<void> {
    const options = { service, callMs: 10, siblingOrigins };
    return this.#startUpstream(upstreamId, "service", n, options);
  }

  async #startUpstream(
    upstreamId: string,
    kind: "engine" | "service",
    n: number,
    options: Record<string, unknown>,
  ): Promise<void> {
    const started = await this.#startFake(upstreamId, {
      ...options,
      upstreamId,
    }, kind);
    await this.#registerInstance({
      id: upstreamId,
      kind,
      address: started.ready.origin,
      failureDomain: FAILURE_DOMAINS[n % FAILURE_DOMAINS.length],
      state: "live",
      ...(kind === "service" ? { service: options.service } : {}),
    });
  }

  async #startFake(
    name: string,
    options: Record<string, unknown>,
    kind = name,
  ): Promise<FakeProcess> {
    const started = await testing.startProcess<{ origin: string }>(name, [
      FAKES_MAIN,
      kind,
      "0",
      JSON.stringify(options),
    ]);
    this.fakes.set(name, started);
    return started;
  }

  async #startEntry(n: number): Promise<void> {
    const name = `entry-${n}`;
    const failureDomain = FAILURE_DOMAINS[n % FAILURE_DOMAINS.length] ?? "";
    const file = join(this.#directory, `${name}.jsonc`);
    const settings = testing.makeSettings(name, failureDomain, {
      tableServiceUrl: this.originOf("table-service"),
      objectStoreUrl: this.originOf("object-store"),
      instanceListUrl: this.originOf("instance-list"),
      weightStoreUrl: this.originOf("weight-store"),
    }, { drain: { entriesMaxAgeMs: 1_000 } });
    await writeFile(file, JSON.stringify(settings, null, 2));
    const entry = await testing.startProcess<instance.InstanceAddresses>(
      name,
      [CLI_MAIN, "serve", "--settings", file],
    );
    this.entries.push(entry);
    await this.#registerInstance({
      id: name,
      kind: "entry",
      address: entry.ready.callerAddress,
      peerAddress: entry.ready.peerAddress,
      failureDomain,
      state: "live",
    });
  }

  async #registerInstance(instance: Record<string, unknown>): Promise<void> {
    const origin = this.originOf("instance-list");
    const url = `${origin}/v1/instances/${String(instance.id)}`;
    await fetch(url, { method: "PUT", body: JSON.stringify(instance) });
  }
}
