/** HTTP transport: requests sent at most once, typed failures, and servers. */
export { listen, startServer } from "./transport_listen.ts";
export type { ListenPatience } from "./transport_listen.ts";
export {
  flattenHeaders,
  send,
  timeoutSignal,
  toTransportFailure,
  wasNotSent,
} from "./transport_request.ts";
export type {
  TransportFailure,
  TransportRequest,
  TransportResponse,
} from "./transport_request.ts";
export { connector, ResetError } from "./transport_reset.ts";
export { limitStart } from "./transport_start_limit.ts";
export { keepOpenAsAnnounced } from "./transport_keep_alive.ts";
export { finishBeforeParseErrors } from "./transport_parse_errors.ts";
export { trackProgress } from "./transport_read_limit.ts";
export { SocketMeter } from "./transport_meter.ts";
export {
  framingOf,
  guardUnframedBodies,
  guardUnframedBody,
  UnframedBodyTooLargeError,
} from "./transport_unframed.ts";
export type { BodyFraming } from "./transport_unframed.ts";
