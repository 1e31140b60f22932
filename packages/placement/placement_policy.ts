/** Interface of a placement policy: the view it gets, the actions it plans. */
import * as core from "../core/mod.ts";
import * as table from "../table/mod.ts";
import type { RowDemand } from "./placement_demand.ts";

/** A model or adapter on an engine, as input of the plan. */
export interface PlacedArtifact {
  readonly artifactId: core.ArtifactId;
  /** Undefined when no row of the table names the artifact any more. */
  readonly rowName: core.RowName | undefined;
  readonly weightBytes: number;
  /** "changing" while it is loaded or unloaded. */
  readonly state: "resident" | "changing";
  /** How long it has been resident, in milliseconds. */
  readonly residentMs: number;
}

/** An engine, as input of the plan. */
export interface PlacedEngine {
  readonly upstreamId: core.UpstreamId;
  readonly freeBytes: number;
  readonly slots: number;
  /** Fraction of the slots that is in use. */
  readonly slotUsage: number;
  readonly artifacts: readonly PlacedArtifact[];
  /** Whether the engine is to get no orders for now. */
  readonly isOrderingPaused: boolean;
}

/** Input of a plan. */
export interface PlacementView {
  readonly rows: ReadonlyMap<core.RowName, table.RevisedRow>;
  readonly engines: readonly PlacedEngine[];
  readonly demand: ReadonlyMap<core.RowName, RowDemand>;
  /** Time for which requests for a row have waited, in milliseconds. */
  readonly waitedMs: (rowName: core.RowName) => number;
  /** Last use of a row on the monotonic clock, -Infinity if there is none. */
  readonly lastUsedAtMs: (rowName: core.RowName) => number;
  /** Further model loads that may be in progress at once. */
  readonly modelLoadSlotsFree: number;
  /** Further adapter loads that may be in progress at once. */
  readonly adapterLoadSlotsFree: number;
}

/** A load or an unload to order. */
export type PlacementAction =
  | {
    readonly kind: "load";
    readonly upstreamId: core.UpstreamId;
    readonly row: table.TableRow;
  }
  | {
    readonly kind: "unload";
    readonly upstreamId: core.UpstreamId;
    readonly artifactId: core.ArtifactId;
  };

/** Plans loads and unloads from the current view. */
export abstract class PlacementPolicy {
  abstract readonly name: string;
  abstract plan(view: PlacementView): PlacementAction[];
}
