/** HTTP API of an instance for callers and operators. */
export { GatewayAdmission } from "./gateway_admission.ts";
export type {
  GatewayAdmissionOptions,
  GatewayPhase,
} from "./gateway_admission.ts";
export { makeApp } from "./gateway_app.ts";
export { listEntries } from "./gateway_entries.ts";
export type { EntryAddress } from "./gateway_entries.ts";
export { StreamRelay } from "./gateway_relay.ts";
export { DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER } from "./gateway_request.ts";
export { UpstreamClients } from "./gateway_types.ts";
export type {
  GatewayBindings,
  GatewayContext,
  GatewayDependencies,
  GatewayEnv,
} from "./gateway_types.ts";
