/** Runs a fake engine in a process of its own, to give it a core to itself. */
import { fileURLToPath } from "node:url";
import type * as fakes from "../fakes/mod.ts";
import * as testing from "../testing/mod.ts";

const FAKES_MAIN = fileURLToPath(new URL("../fakes/main.js", import.meta.url));

/** Process of a fake engine. */
export class EngineProcess {
  readonly origin: string;
  readonly #process: testing.StartedProcess<{ origin: string }>;

  private constructor(started: testing.StartedProcess<{ origin: string }>) {
    this.#process = started;
    this.origin = started.ready.origin;
  }

  /**
   * Starts an engine. Unless `options` set other sizes, its memory fits four
   * models with the default size of `testing.makeRow`.
   */
  static async start(
    options: Partial<fakes.FakeEngineOptions>,
  ): Promise<EngineProcess> {
    const started = await testing.startProcess<{ origin: string }>("engine", [
      FAKES_MAIN,
      "engine",
      "0",
      JSON.stringify({
        upstreamId: "engine-1",
        honoursFencing: false,
        loadMs: 10,
        reportLagMs: 100,
        capacityBytes: 100,
        kvReserveBytes: 10,
        roleOverheadBytes: 5,
        ...options,
      }),
    ]);
    return new EngineProcess(started);
  }

  /** Adds the engine to an instance list. */
  register(instanceList: fakes.FakeInstanceList): void {
    instanceList.put({
      id: "engine-1",
      kind: "engine",
      address: this.origin,
      failureDomain: "calama",
      state: "live",
    });
  }

  /** Kills the process. */
  async stop(): Promise<void> {
    await this.#process.kill();
  }
}
