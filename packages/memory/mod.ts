/** The memory and the connections of a node: limits, and who is shed. */
export { NodeMemory, processMemory, RequestHold } from "./memory_account.ts";
export { BlockPool } from "./memory_blocks.ts";
export { BodyAssembler } from "./memory_body.ts";
export { BodyProgress } from "./memory_progress.ts";
export { limitConnections } from "./memory_connections.ts";
export { unreadBytes } from "./memory_unread.ts";
export type { ConnectionLimits } from "./memory_connections.ts";
export { deriveLimits } from "./memory_limits.ts";
export type { NodeLimits } from "./memory_limits.ts";
export { LimitReporter, OUT_OF_MEMORY } from "./memory_reporter.ts";
export type { LimitName } from "./memory_reporter.ts";
export { MemoryWatch, usedBytes, WatchedProcess } from "./memory_watch.ts";
