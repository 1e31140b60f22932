/** A complete system on loopback: fakes and processes of entries. */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import * as core from "../core/mod.ts";
import * as fakes from "../fakes/mod.ts";
import type * as instance from "../instance/mod.ts";
import type * as table from "../table/mod.ts";
import { type StartedProcess, startProcess } from "./testing_process.ts";
import {
  makeSettings,
  OPERATOR_TOKENS,
  type SettingsOverrides,
} from "./testing_settings.ts";

/** Attempts of one edit; the store can exceed its timeout on a busy machine. */
const EDIT_ATTEMPTS_MAX = 5;
const EDIT_RETRY_DELAY_MS = 300;

const CLI_MAIN = fileURLToPath(new URL("../cli/main.js", import.meta.url));
const FAILURE_DOMAINS = ["calama", "antofagasta", "copiapo"];
const READY_TIMEOUT_MS = 20_000;

/** Composition of a test cluster. */
export interface TestClusterOptions {
  /** Number of entries; 2 by default. */
  readonly entries?: number;
  /** Number of engines; 2 by default. */
  readonly engines?: number;
  /** Overrides for every engine. */
  readonly engine?: Partial<fakes.FakeEngineOptions>;
  /** Number of instances by service. */
  readonly services?: Readonly<Record<string, number>>;
  readonly weightStore?: Partial<fakes.FakeWeightStoreOptions>;
  /** Delay until readers see a change of the instance list, in ms. */
  readonly instanceListLagMs?: number;
  readonly settings?: SettingsOverrides;
  /** Rows written to the table once the entries are ready. */
  readonly rows?: readonly table.TableRow[];
  /**
   * Whether peers reach an entry, and the entry the store, through `FakeLink`s;
   * true by default.
   */
  readonly links?: boolean;
}

/** The parts of `/v1/status` that tests read. */
export interface EntryStatus {
  readonly tableRevision: number;
  readonly engines: readonly {
    readonly upstreamId: string;
    readonly leaving: boolean;
  }[];
}

/** The process of an entry instance. */
export type EntryProcess = StartedProcess<instance.InstanceAddresses>;

/** Polls a condition until it holds; fails with the description on timeout. */
export async function waitUntil(
  description: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = READY_TIMEOUT_MS,
): Promise<void> {
  const deadline = new core.Deadline(timeoutMs);
  while (!await condition()) {
    if (deadline.isOver()) {
      throw new Error(`Timed out waiting until ${description}`);
    }
    await core.sleep(10);
  }
}

/**
 * Runs the fakes in this process and each entry in a process of its own.
 *
 * @example
 * ```ts
 * const cluster = await new testing.TestCluster({ rows }).start();
 * try {
 *   const origin = cluster.entries[0].ready.callerAddress;
 *   await testing.complete(origin, { model: "llama", prompt: "x" });
 * } finally {
 *   await cluster.stop();
 * }
 * ```
 */
export class TestCluster {
  readonly tableService = new fakes.FakeTableService();
  readonly objectStore = new fakes.FakeObjectStore();
  readonly instanceList: fakes.FakeInstanceList;
  readonly weightStore: fakes.FakeWeightStore;
  readonly engines: fakes.FakeEngine[] = [];
  readonly services = new Map<string, fakes.FakeService[]>();
  readonly entries: EntryProcess[] = [];
  /** Links by entry name: from its peers to it, and from it to the store. */
  readonly links = new Map<
    string,
    { fromPeers: fakes.FakeLink; toStore: fakes.FakeLink }
  >();
  readonly #options: TestClusterOptions;
  readonly #failureDomains = new Map<string, string>();
  #directory = "";

  constructor(options: TestClusterOptions = {}) {
    this.#options = options;
    this.instanceList = new fakes.FakeInstanceList(
      options.instanceListLagMs ?? 0,
    );
    this.weightStore = new fakes.FakeWeightStore({
      modelLoadMs: 100,
      modelsAtOnceMax: 3,
      adapterLoadMs: 10,
      adaptersAtOnceMax: 24,
      ...options.weightStore,
    });
  }

  /** Starts everything, waits until all entries are ready, writes the rows. */
  async start(): Promise<this> {
    this.#directory = await mkdtemp(join(tmpdir(), "carawaywind-"));
    const { tableService, objectStore, instanceList, weightStore } = this;
    await Promise.all([
      tableService.start(),
      objectStore.start(),
      instanceList.start(),
      weightStore.start(),
    ]);
    await this.#startUpstreams();
    const { entries = 2 } = this.#options;
    const names = Array.from({ length: entries }, (_, n) => `entry-${n + 1}`);
    await Promise.all(names.map((name) => this.startEntry(name)));
    this.entries.sort((a, b) => a.name < b.name ? -1 : 1);
    await this.waitUntilReady();
    const { rows = [] } = this.#options;
    if (rows.length > 0) await this.applyEdit(rows);
    return this;
  }

  /** Starts an entry, with its links, and adds it to the instance list. */
  async startEntry(
    name: string,
    overrides: SettingsOverrides = {},
  ): Promise<EntryProcess> {
    const failureDomain = this.failureDomainOf(name);
    const linkedOverrides = this.#options.links === false
      ? overrides
      : await this.#addLinks(name, overrides);
    const file = await this.writeSettings(name, linkedOverrides);
    const entry = await startProcess<instance.InstanceAddresses>(name, [
      CLI_MAIN,
      "serve",
      "--settings",
      file,
    ]);
    const links = this.links.get(name);
    if (links) links.fromPeers.targetPort = entry.ready.peerPort;
    this.entries.push(entry);
    this.instanceList.put({
      id: name,
      kind: "entry",
      address: entry.ready.callerAddress,
      peerAddress: entry.ready.peerAddress,
      failureDomain,
      state: "live",
    });
    return entry;
  }

  /** Failure domain of an entry; those of entries in order take turns. */
  failureDomainOf(name: string): string {
    const known = this.#failureDomains.get(name);
    if (known !== undefined) return known;
    const index = this.#failureDomains.size % FAILURE_DOMAINS.length;
    const failureDomain = FAILURE_DOMAINS[index] ?? "";
    this.#failureDomains.set(name, failureDomain);
    return failureDomain;
  }

  /** Kills an entry and stops its link, so that peers cannot connect. */
  async killEntry(entry: EntryProcess): Promise<void> {
    await entry.kill();
    await this.links.get(entry.name)?.fromPeers.stop();
  }

  /** Sets the mode of an entry's links to the store and from its peers. */
  setLinkMode(entry: EntryProcess, mode: fakes.LinkMode): void {
    const links = this.links.get(entry.name);
    if (!links) {
      throw new Error(`Entry ${entry.name} was started without links`);
    }
    links.fromPeers.mode = mode;
    links.toStore.mode = mode;
  }

  /** Writes an instance's settings file and returns its path. */
  async writeSettings(
    name: string,
    overrides: SettingsOverrides = {},
  ): Promise<string> {
    const failureDomain = this.failureDomainOf(name);
    const { settings = {} } = this.#options;
    const platform = { ...settings.platform, ...overrides.platform };
    const merged = { ...settings, ...overrides, platform };
    const text = JSON.stringify(
      makeSettings(name, failureDomain, {
        tableServiceUrl: this.tableService.origin,
        objectStoreUrl: this.objectStore.origin,
        instanceListUrl: this.instanceList.origin,
        weightStoreUrl: this.weightStore.origin,
      }, merged),
    );
    const file = join(this.#directory, `${name}.jsonc`);
    await writeFile(file, text);
    return file;
  }

  /** Waits until every running entry lists all running entries. */
  async waitUntilReady(): Promise<void> {
    const running = this.entries.filter((entry) => !entry.hasExited);
    await waitUntil("every entry is listed by every entry", async () => {
      const lists = await Promise.all(
        running.map((entry) => this.listEntries(entry)),
      );
      return lists.every((list) => list.length === running.length);
    });
  }

  /** Returns the addresses in `/v1/entries` of an entry; empty on an error. */
  async listEntries(entry: EntryProcess): Promise<string[]> {
    const response = await fetch(`${entry.ready.callerAddress}/v1/entries`, {
      headers: { authorization: `Bearer ${OPERATOR_TOKENS.ana}` },
    });
    if (!response.ok) return [];
    const body = await response.json() as { entries: { address: string }[] };
    return body.entries.map(({ address }) => address);
  }

  /** Returns `/v1/status` of an entry. */
  async status(entry: EntryProcess): Promise<EntryStatus> {
    const response = await fetch(`${entry.ready.callerAddress}/v1/status`, {
      headers: { authorization: `Bearer ${OPERATOR_TOKENS.ana}` },
    });
    return await response.json() as EntryStatus;
  }

  /** Counts the runs of a keyed call over all instances of its service. */
  runCount(service: string, callerAndKey: string): number {
    const instances = this.services.get(service) ?? [];
    return instances.reduce(
      (sum, { runs }) => sum + (runs.get(callerAndKey) ?? 0),
      0,
    );
  }

  /**
   * Writes rows through one entry, waits until the edit is in force on all
   * running entries and returns its revision.
   */
  async applyEdit(
    rows: readonly table.TableRow[],
    entryIndex = 0,
  ): Promise<number> {
    const entry = this.entries[entryIndex];
    const body = JSON.stringify({
      editId: core.randomId<core.EditId>("ed"),
      changes: rows.map((row) => ({ name: row.name, row })),
    });
    const revision = await this.#sendEdit(
      `${entry?.ready.callerAddress}/v1/table/edits`,
      body,
    );
    await waitUntil("the edit is in force", async () => {
      const running = this.entries.filter((other) => !other.hasExited);
      const statuses = await Promise.all(
        running.map((other) => this.status(other)),
      );
      return statuses.every(({ tableRevision }) => tableRevision >= revision);
    });
    return revision;
  }

  /** Sends an edit; retries with the same id while the store is unavailable. */
  async #sendEdit(url: string, body: string): Promise<number> {
    for (let attempt = 1;; attempt++) {
      const response = await fetch(url, {
        method: "POST",
        headers: { authorization: `Bearer ${OPERATOR_TOKENS.ana}` },
        body,
      });
      const reply = await response.json() as {
        revision: number;
        code?: number;
      };
      if (response.ok) return reply.revision;
      const isStoreUnavailable = reply.code === core.STORE_UNAVAILABLE.code;
      if (!isStoreUnavailable || attempt === EDIT_ATTEMPTS_MAX) {
        throw new Error(JSON.stringify(reply));
      }
      await core.sleep(EDIT_RETRY_DELAY_MS);
    }
  }

  /** Kills the entries, stops the fakes and removes the settings files. */
  async stop(): Promise<void> {
    await Promise.all(this.entries.map((entry) => entry.kill()));
    const services = [...this.services.values()].flat();
    const servers = [
      ...this.engines,
      ...services,
      this.tableService,
      this.objectStore,
      this.instanceList,
      this.weightStore,
    ];
    await Promise.all(servers.map((server) => server.stop()));
    for (const { fromPeers, toStore } of this.links.values()) {
      await fromPeers.stop();
      await toStore.stop();
    }
    await rm(this.#directory, { recursive: true, force: true });
  }

  async #addLinks(
    name: string,
    overrides: SettingsOverrides,
  ): Promise<SettingsOverrides> {
    const links = {
      fromPeers: new fakes.FakeLink(),
      toStore: new fakes.FakeLink(),
    };
    this.links.set(name, links);
    const advertisePeerPort = await links.fromPeers.start();
    await links.toStore.start(Number(new URL(this.tableService.origin).port));
    const tableServiceUrl = links.toStore.origin;
    return {
      ...overrides,
      listen: { ...overrides.listen, advertisePeerPort },
      platform: { ...overrides.platform, tableServiceUrl },
    };
  }

  async #startUpstreams(): Promise<void> {
    const { engines = 2, services = {} } = this.#options;
    for (let n = 1; n <= engines; n++) {
      const engine = new fakes.FakeEngine({
        upstreamId: `engine-${n}`,
        slots: 8,
        waitingMax: 64,
        firstTokenMs: 5,
        tokenMs: 1,
        honoursFencing: false,
        loadMs: 50,
        reportLagMs: 100,
        capacityBytes: 100,
        kvReserveBytes: 10,
        roleOverheadBytes: 5,
        weightStoreOrigin: this.weightStore.origin,
        ...this.#options.engine,
      });
      await engine.start();
      this.engines.push(engine);
      this.#addToInstanceList(`engine-${n}`, "engine", engine.origin, n);
    }
    for (const [service, count] of Object.entries(services)) {
      const instances: fakes.FakeService[] = [];
      for (let n = 1; n <= count; n++) {
        const upstreamId = `${service}-${n}`;
        const fake = new fakes.FakeService({ service, upstreamId, callMs: 5 });
        await fake.start();
        instances.push(fake);
        this.#addToInstanceList(upstreamId, "service", fake.origin, n, service);
      }
      this.services.set(service, instances);
    }
  }

  #addToInstanceList(
    id: string,
    kind: string,
    address: string,
    index: number,
    service?: string,
  ): void {
    const failureDomain = FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] ?? "";
    this.instanceList.put({
      id,
      kind,
      address,
      failureDomain,
      state: "live",
      ...(service === undefined ? {} : { service }),
    });
  }
}
