/** What a placement policy sees and says. */
import * as core from "../core/mod.ts";
import * as table from "../table/mod.ts";
import type { RowDemand } from "./placement_demand.ts";

/** One artifact on an engine, as the planner sees it. */
export interface PlacedArtifact {
  readonly artifactId: core.ArtifactId;
  /** Undefined when no row of the table names the artifact any more. */
  readonly rowName: core.RowName | undefined;
  readonly weightBytes: number;
  readonly state: "resident" | "changing";
  /** How long it has been resident, in milliseconds. */
  readonly residentMs: number;
}

/** One engine, as the planner sees it. */
export interface PlacedEngine {
  readonly upstreamId: core.UpstreamId;
  readonly freeBytes: number;
  readonly slots: number;
  /** Share of the slots that is in use. */
  readonly slotUsage: number;
  readonly artifacts: readonly PlacedArtifact[];
  /** No orders to it for now. */
  readonly isOrderingPaused: boolean;
}

/** Everything that a plan rests on. */
export interface PlacementView {
  readonly rows: ReadonlyMap<core.RowName, table.RevisedRow>;
  readonly engines: readonly PlacedEngine[];
  readonly demand: ReadonlyMap<core.RowName, RowDemand>;
  readonly waitedMs: (rowName: core.RowName) => number;
  readonly lastUsedAtMs: (rowName: core.RowName) => number;
  readonly modelLoadSlotsFree: number;
  readonly adapterLoadSlotsFree: number;
}

/** One move. */
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

/** Plans moves from what is known now. */
export abstract class PlacementPolicy {
  abstract readonly name: string;
  abstract plan(view: PlacementView): PlacementAction[];
}
