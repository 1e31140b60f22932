/** Rates that upstreams name as the most that they take from all nodes. */
export { NamedRates } from "./rates_named.ts";
export type { Incarnation, RateStatement } from "./rates_named.ts";
