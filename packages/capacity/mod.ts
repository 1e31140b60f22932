/** Sizes of machines, what follows from them, and overload of one machine. */
export { AdmissionLimit } from "./capacity_admission.ts";
export { AdvertisedWeight } from "./capacity_advertised_weight.ts";
export { CallerLists, LIST_LENGTH_MAX } from "./capacity_caller_lists.ts";
export type { CallerPlace, ListedNode } from "./capacity_caller_lists.ts";
export { shareConnections } from "./capacity_connections.ts";
export {
  findPeak,
  LatenessSource,
  LimitSource,
  LinkSource,
  LoadSource,
} from "./capacity_load.ts";
export type { LinkBytes, LoadKind, LoadPeak } from "./capacity_load.ts";
export { FleetSizes } from "./capacity_sizes.ts";
export type { SizedNode } from "./capacity_sizes.ts";
