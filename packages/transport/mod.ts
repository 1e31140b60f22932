/** HTTP requests that are sent at most once, typed failures, and servers. */
export { registerServer } from "./transport_listen.ts";
export {
  boundSignal,
  flattenHeaders,
  send,
  toTransportFailure,
  wasNotSent,
} from "./transport_request.ts";
export type {
  TransportAnswer,
  TransportFailure,
  TransportRequest,
} from "./transport_request.ts";
export { SocketMeter } from "./transport_meter.ts";
