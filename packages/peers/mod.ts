/** Entry instances among themselves: membership and the peer protocol. */
export { PeerClients, RemoteClaimPeers } from "./peers_client.ts";
export type { PeerUse } from "./peers_client.ts";
export {
  fromMemberMessage,
  toFateMessage,
  toMemberMessage,
} from "./peers_convert.ts";
export { PeerDirectory } from "./peers_directory.ts";
export type {
  PeerDirectoryOptions,
  PeerMember,
  PeerSuspicion,
} from "./peers_directory.ts";
export { PeerHandlers, registerPeerListener } from "./peers_server.ts";
export type { PeerListenOptions } from "./peers_server.ts";
export {
  DemandReportSchema,
  DigestSchema,
  EngineDigestSchema,
  FetchTableReplySchema,
} from "./gen/peers_pb.ts";
export type {
  DemandReport,
  Digest,
  EngineDigest,
  FetchTableReply,
  FetchTableRequest,
  ResolveClaimReply,
  ResolveClaimRequest,
} from "./gen/peers_pb.ts";
export {
  EngineUseSchema,
  FleetViewSchema,
  NodeDigestSchema,
} from "./gen/fleet_pb.ts";
export type {
  EngineState,
  EngineUse,
  FleetView,
  NodeDigest,
} from "./gen/fleet_pb.ts";
export {
  FleetClients,
  FleetHandler,
  registerFleetListener,
} from "./peers_fleet.ts";
