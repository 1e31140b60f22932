/** Where the configuration and the list of upstreams stand in the store. */
import type { Result } from "neverthrow";
import type * as core from "../core/mod.ts";
import type { FleetConfig, UpstreamRecord } from "./fleet_types.ts";

/** Decodes rows that others write. */
export abstract class FleetSource {
  /** Table whose rows hold the operator's configuration. */
  abstract readonly configTable: string;
  /** Key of the newest configuration in that table. */
  abstract readonly configKey: string;
  /** Table whose rows are the upstreams. */
  abstract readonly upstreamTable: string;
  abstract decodeConfig(value: core.JsonValue): Result<FleetConfig, string>;
  /** Decodes one upstream, or says why the row names none to use. */
  abstract decodeUpstream(
    key: string,
    value: core.JsonValue,
  ): Result<UpstreamRecord, string>;
}
