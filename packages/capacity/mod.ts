/** Sizes of machines, what follows from them, and overload of one machine. */
export { CallerLists, LIST_LENGTH_MAX } from "./capacity_caller_lists.ts";
export type { CallerPlace, ListedNode } from "./capacity_caller_lists.ts";
export { shareConnections } from "./capacity_connections.ts";
export { FleetSizes } from "./capacity_sizes.ts";
export type { SizedNode } from "./capacity_sizes.ts";
