/** Options, requests and results of the simulated fleets. */
import type * as admission from "../../admission/mod.ts";
import type * as core from "../../core/mod.ts";
import type * as dispatch from "../mod.ts";
import type { SimWork } from "./sim_engine.ts";
import type { SimFleet } from "./sim_fleet.ts";

/** What varies between the runs. */
export interface SimOptions {
  readonly nodes: number;
  readonly engines: number;
  readonly modelsPerEngine: number;
  readonly models: number;
  readonly capacityTokens: number;
  readonly slots: number;
  readonly seed: number;
  readonly durationMs: number;
  /** Ages of the sums, in ms. */
  readonly ageMinMs: number;
  readonly ageMaxMs: number;
  readonly makeRule: (node: string, fleet: SimFleet) => admission.AdmissionRule;
  readonly makeSpread?: (node: string) => dispatch.EngineSpread;
  /** Delay before each send, as for a call to another node. */
  readonly sendDelayMs?: number;
  readonly crashesOnOverrun?: boolean;
  /** Share of the exchanges that are lost. */
  readonly lossShare?: number;
}

/** A request with its arrival. */
export interface SimArrival extends SimWork {
  readonly atMs: number;
  readonly node: number;
  readonly model: core.ModelName;
  readonly outputTokensMax: number;
  readonly outputTokensLikely: number;
  readonly team: string;
}

export interface SimServed {
  readonly arrival: SimArrival;
  readonly waitMs: number;
  readonly firstMs: number;
}
