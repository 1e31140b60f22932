/** Interface to the control endpoints of engines: orders and reports. */
import type { Result } from "neverthrow";
import type * as core from "../core/mod.ts";
import type { LoadedModel, UpstreamRecord } from "./fleet_types.ts";

/** An order to load or unload a model, or an adapter of it. */
export interface Order {
  readonly kind: "load" | "unload";
  readonly model: core.ModelName;
  readonly adapter?: string;
  /**
   * Number of orders that the engine must have accepted so far; it rejects the
   * order if its count differs.
   */
  readonly expectedOrderCount: number;
  /** Lease holder that sends the order. */
  readonly holder: core.InstanceId;
  readonly fencingToken: number;
}

/**
 * Outcome of an order:
 * - `accepted`: the engine executes it and counts it.
 * - `alreadySo`: the engine had nothing to do.
 * - `conflict`: the engine's order count is not the expected one.
 * - `fenced`: the engine has seen a higher fencing token.
 * - `invalid`: the engine rejects the order as malformed.
 * - `otherEngine`: the address belongs to another engine now.
 * - `unavailable`: the engine takes no orders at present.
 * - `unreachable`: the order was not sent.
 * - `lost`: no usable reply. Only this one leaves the effect unknown: the engine
 *   may still execute the order later, as long as its order count is as expected.
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

/** State that an engine reports; it lags by some hundred milliseconds. */
export interface EngineReport {
  readonly startedAtMs: number;
  readonly models: readonly LoadedModel[];
  readonly modelsInMemory: readonly core.ModelName[];
  readonly modelsOnDisk: readonly core.ModelName[];
  /** Adapters that are being loaded, as model and adapter name. */
  readonly loadingAdapters: readonly (readonly [core.ModelName, string])[];
  /** Whether the engine is loading or unloading a model. */
  readonly isBusy: boolean;
  /** Orders that this incarnation has accepted. */
  readonly orderCount: number;
}

/** Client for the control endpoints of engines. */
export abstract class EngineControl {
  /** Called when an engine states in an answer that it is leaving. */
  onLeaving: (engine: UpstreamRecord) => void = () => {};

  /** Sends an order once; transport errors are part of the reply. */
  abstract sendOrder(
    engine: UpstreamRecord,
    order: Order,
    timeoutMs: number,
  ): Promise<OrderReply>;

  /** Requests an engine's report; the error says why there is none. */
  abstract fetchReport(
    engine: UpstreamRecord,
    timeoutMs: number,
  ): Promise<Result<EngineReport, string>>;
}
