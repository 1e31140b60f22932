/** Membership of entry instances and the protocols that they exchange. */
export { PeerClients, RemoteClaimPeers } from "./peers_client.ts";
export type { PeerCallCounters } from "./peers_client.ts";
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
export { PeerHandlers, startPeerListener } from "./peers_server.ts";
export type { PeerListenerOptions } from "./peers_server.ts";
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
  EngineClaimSchema,
  EngineStateSchema,
  EngineUseSchema,
  FleetViewSchema,
  LeavingUpstreamSchema,
  MemberStateSchema,
  NodeDigestSchema,
  PermitReplySchema,
  PermitRequestSchema,
  QuarantineNewsSchema,
  QueueLengthSchema,
  QuotaAnswerSchema,
  QuotaGrantSchema,
  QuotaOfferSchema,
  QuotaReportSchema,
  RateStatementSchema,
  ReadTableReplySchema,
  ReadTableRequestSchema,
  StreamOriginSchema,
  TableNewsSchema,
} from "./gen/fleet_pb.ts";
export type {
  EngineState,
  EngineUse,
  FleetView,
  LateOrder,
  LeavingUpstream,
  MemberState,
  NodeDigest,
  PermitReply,
  PermitRequest,
  QuarantineNews,
  QuotaAnswer,
  QuotaReport,
  RateStatement,
  ReadTableReply,
  ReadTableRequest,
  StreamOrigin,
  TableNews,
} from "./gen/fleet_pb.ts";
export {
  FleetClients,
  FleetHandler,
  startFleetListener,
} from "./peers_fleet.ts";
