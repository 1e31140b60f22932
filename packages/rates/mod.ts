/** Rates that upstreams name as the most that they take from all nodes. */
export { NamedRates } from "./rates_named.ts";
export type { Incarnation, RateStatement } from "./rates_named.ts";
export { PermitIssuer } from "./rates_issuer.ts";
export type { PermitDecision } from "./rates_issuer.ts";
export { PermitSource, RateGate } from "./rates_gate.ts";
export type { Permit, PermitReply } from "./rates_gate.ts";
