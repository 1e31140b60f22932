/** Orders to engines and their reports. */
import type { Result } from "neverthrow";
import type * as core from "../core/mod.ts";
import type { LoadedModel, UpstreamRecord } from "./fleet_types.ts";

/** One order to load or unload a model, or an adapter of it. */
export interface Order {
  readonly kind: "load" | "unload";
  readonly model: core.ModelName;
  readonly adapter?: string;
  /** Orders the engine must have accepted so far; else it refuses. */
  readonly expectedOrderCount: number;
  readonly holder: core.InstanceId;
  readonly fencingToken: number;
}

/**
 * What became of an order. Only `lost` leaves its effect in doubt: it may be
 * carried out later while the engine's order count is as expected.
 */
export type OrderReply =
  | "accepted"
  | "alreadySo"
  | "conflict"
  | "fenced"
  | "invalid"
  | "otherEngine"
  | "unavailable"
  | "unreachable"
  | "lost";

/** An engine's account of itself, as of some hundred milliseconds ago. */
export interface EngineReport {
  readonly startedAtMs: number;
  readonly models: readonly LoadedModel[];
  readonly modelsInMemory: readonly core.ModelName[];
  readonly modelsOnDisk: readonly core.ModelName[];
  /** Adapters on their way, as model and adapter name. */
  readonly loadingAdapters: readonly (readonly [core.ModelName, string])[];
  readonly isBusy: boolean;
  readonly orderCount: number;
}

/** Speaks to engines about what they hold. */
export abstract class EngineControl {
  /** Sends an order once. */
  abstract sendOrder(
    engine: UpstreamRecord,
    order: Order,
    timeoutMs: number,
  ): Promise<OrderReply>;

  /** Asks an engine for its report. */
  abstract fetchReport(
    engine: UpstreamRecord,
    timeoutMs: number,
  ): Promise<Result<EngineReport, string>>;
}
