/** A whole system on loopback: stand-ins here or as processes, entries. */
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

/** Sendings of one edit to a store that a busy machine makes slow. */
const EDIT_SENDINGS_MAX = 5;
const EDIT_RETRY_DELAY_MS = 300;

const CLI = fileURLToPath(new URL("../cli/main.js", import.meta.url));
const FAILURE_DOMAINS = ["calama", "antofagasta", "copiapo"];
const READY_WAIT_MS = 20_000;

/** How a world is made. */
export interface TestClusterOptions {
  readonly entries?: number;
  readonly engines?: number;
  readonly engine?: Partial<fakes.FakeEngineOptions>;
  readonly services?: Readonly<Record<string, number>>;
  readonly weightStore?: Partial<fakes.FakeWeightStoreOptions>;
  readonly instanceListLagMs?: number;
  readonly settings?: SettingsOverrides;
  readonly rows?: readonly table.TableRow[];
  /** Whether entries sit behind links that can be cut; they do by default. */
  readonly links?: boolean;
}

/** One entry instance's process. */
export type EntryProcess = StartedProcess<instance.InstanceAddresses>;

/** Waits until a condition holds. */
export async function waitUntil(
  what: string,
  condition: () => boolean | Promise<boolean>,
  waitMs = READY_WAIT_MS,
): Promise<void> {
  const deadline = new core.Deadline(waitMs);
  while (!await condition()) {
    if (deadline.isOver()) throw new Error(`Timed out waiting: ${what}`);
    await core.sleep(10);
  }
}

/** Stand-ins in this process and entries as processes of their own. */
export class TestCluster {
  readonly tableService = new fakes.FakeTableService();
  readonly objectStore = new fakes.FakeObjectStore();
  readonly instanceList: fakes.FakeInstanceList;
  readonly weightStore: fakes.FakeWeightStore;
  readonly engines: fakes.FakeEngine[] = [];
  readonly services = new Map<string, fakes.FakeService[]>();
  readonly entries: EntryProcess[] = [];
  /** Links by entry: from its peers to it, and from it to the store. */
  readonly links = new Map<
    string,
    { fromPeers: fakes.FakeLink; toStore: fakes.FakeLink }
  >();
  readonly #options: TestClusterOptions;
  #folder = "";

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

  /** Starts everything and waits until every entry is ready. */
  async start(): Promise<this> {
    this.#folder = await mkdtemp(join(tmpdir(), "carawaywind-"));
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

  /** Starts one more entry instance, behind links that can be cut. */
  async startEntry(
    name: string,
    change: SettingsOverrides = {},
  ): Promise<EntryProcess> {
    const linked = this.#options.links === false
      ? change
      : await this.#link(name, change);
    const file = await this.writeSettings(name, linked);
    const entry = await startProcess<instance.InstanceAddresses>(name, [
      CLI,
      "serve",
      "--settings",
      file,
    ]);
    const links = this.links.get(name);
    if (links) links.fromPeers.targetPort = entry.ready.peerPort;
    this.entries.push(entry);
    const index = this.entries.length - 1;
    this.instanceList.put({
      id: name,
      kind: "entry",
      address: entry.ready.callerAddress,
      peerAddress: entry.ready.peerAddress,
      failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] ?? "",
      state: "live",
    });
    return entry;
  }

  /** Ends an entry at once; nothing listens in its place. */
  async killEntry(entry: EntryProcess): Promise<void> {
    await entry.kill();
    await this.links.get(entry.name)?.fromPeers.stop();
  }

  /** Cuts or heals an entry's links to the store and from its peers. */
  setLinkMode(entry: EntryProcess, mode: fakes.LinkMode): void {
    const links = this.links.get(entry.name);
    if (!links) throw new Error(`No links of ${entry.name}`);
    links.fromPeers.mode = mode;
    links.toStore.mode = mode;
  }

  /** Writes an instance's settings and returns the file's path. */
  async writeSettings(
    name: string,
    change: SettingsOverrides = {},
  ): Promise<string> {
    const index = this.entries.length;
    const domain = FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] ?? "";
    const { settings = {} } = this.#options;
    const platform = { ...settings.platform, ...change.platform };
    const merged = { ...settings, ...change, platform };
    const text = JSON.stringify(
      makeSettings(name, domain, {
        tableServiceUrl: this.tableService.origin,
        objectStoreUrl: this.objectStore.origin,
        instanceListUrl: this.instanceList.origin,
        weightStoreUrl: this.weightStore.origin,
      }, merged),
    );
    const file = join(this.#folder, `${name}.jsonc`);
    await writeFile(file, text);
    return file;
  }

  /** Waits until every running entry is ready and lists all of them. */
  async waitUntilReady(): Promise<void> {
    const running = this.entries.filter((entry) => !entry.hasExited);
    await waitUntil("every entry is listed by every entry", async () => {
      const lists = await Promise.all(
        running.map((entry) => this.listEntries(entry)),
      );
      return lists.every((list) => list.length === running.length);
    });
  }

  /** What an entry answers to `/v1/entries`. */
  async listEntries(entry: EntryProcess): Promise<string[]> {
    const answer = await fetch(`${entry.ready.callerAddress}/v1/entries`, {
      headers: { authorization: `Bearer ${OPERATOR_TOKENS.ana}` },
    });
    if (!answer.ok) return [];
    const body = await answer.json() as { entries: { address: string }[] };
    return body.entries.map(({ address }) => address);
  }

  /** An entry's status as operators see it. */
  async status(entry: EntryProcess): Promise<{ tableRevision: number }> {
    const answer = await fetch(`${entry.ready.callerAddress}/v1/status`, {
      headers: { authorization: `Bearer ${OPERATOR_TOKENS.ana}` },
    });
    return await answer.json() as { tableRevision: number };
  }

  /** How often a keyed call ran, over all instances of its service. */
  runCount(service: string, callerAndKey: string): number {
    const instances = this.services.get(service) ?? [];
    return instances.reduce(
      (sum, { runs }) => sum + (runs.get(callerAndKey) ?? 0),
      0,
    );
  }

  /** Writes rows through one entry and waits until all have them. */
  async applyEdit(rows: readonly table.TableRow[], from = 0): Promise<number> {
    const entry = this.entries[from];
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

  /** Sends an edit, and again under its id while the store is not reached. */
  async #sendEdit(url: string, body: string): Promise<number> {
    for (let sending = 1;; sending++) {
      const answer = await fetch(url, {
        method: "POST",
        headers: { authorization: `Bearer ${OPERATOR_TOKENS.ana}` },
        body,
      });
      const told = await answer.json() as { revision: number; code?: number };
      if (answer.ok) return told.revision;
      const isAway = told.code === core.STORE_UNAVAILABLE.code;
      if (!isAway || sending === EDIT_SENDINGS_MAX) {
        throw new Error(JSON.stringify(told));
      }
      await core.sleep(EDIT_RETRY_DELAY_MS);
    }
  }

  /** Ends everything at once. */
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
    await rm(this.#folder, { recursive: true, force: true });
  }

  async #link(
    name: string,
    change: SettingsOverrides,
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
      ...change,
      listen: { ...change.listen, advertisePeerPort },
      platform: { ...change.platform, tableServiceUrl },
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
      this.#list(`engine-${n}`, "engine", engine.origin, n);
    }
    for (const [service, count] of Object.entries(services)) {
      const list: fakes.FakeService[] = [];
      for (let n = 1; n <= count; n++) {
        const upstreamId = `${service}-${n}`;
        const fake = new fakes.FakeService({ service, upstreamId, callMs: 5 });
        await fake.start();
        list.push(fake);
        this.#list(upstreamId, "service", fake.origin, n, service);
      }
      this.services.set(service, list);
    }
  }

  #list(
    id: string,
    kind: string,
    address: string,
    n: number,
    service?: string,
  ): void {
    const failureDomain = FAILURE_DOMAINS[n % FAILURE_DOMAINS.length] ?? "";
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
