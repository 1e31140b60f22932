/** Interface to the store rows of the configuration and of the upstreams. */
import type { Result } from "neverthrow";
import type * as core from "../core/mod.ts";
import type { FleetConfig, UpstreamRecord } from "./fleet_types.ts";

/** Names and decodes the rows that the operator and the upstreams write. */
export abstract class FleetSource {
  /** Table that holds the operator's configuration. */
  abstract readonly configTable: string;
  /** Key of the current configuration in that table. */
  abstract readonly configKey: string;
  /** Table with one row for each upstream. */
  abstract readonly upstreamTable: string;
  /** Decodes the configuration; the error says what is invalid. */
  abstract decodeConfig(value: core.JsonValue): Result<FleetConfig, string>;
  /** Decodes an upstream; the error says why the row cannot be used. */
  abstract decodeUpstream(
    key: string,
    value: core.JsonValue,
  ): Result<UpstreamRecord, string>;
  /**
   * The part of an upstream's row whose changes matter; a row in which only the
   * rest differs is a heartbeat.
   */
  significantUpstreamPart(value: core.JsonValue): core.JsonValue {
    return value;
  }
}
