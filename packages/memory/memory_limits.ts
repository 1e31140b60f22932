/** Derives a node's limits from what its machine has. */

const MB = 1024 * 1024;
/** Of the smallest machine before machines of unequal size; used if unknown. */
const MEMORY_DEFAULT_MB = 477;
/**
 * Resident memory of an idle node is 80 MB bundled and 100 MB as single modules;
 * with 10 MB more of garbage, crowds of several kinds stay below 160 MB.
 */
const PROGRAM_MB = 110;
/**
 * Part of the remaining memory that is accounted for. The rest is for garbage
 * that is not collected yet, fragmentation and buffers of sockets.
 */
const ACCOUNTED_PART = 0.45;
/**
 * Part that connections may take with what the kernel keeps of those that were
 * not read yet, which is not in the account.
 */
const CONNECTIONS_PART = 0.35;
const ACCOUNT_BYTES_MIN = 12 * MB;
/** Limits of responses and messages on machines with ample memory. */
const RESPONSE_BYTES_MAX = 64 * MB;
const MESSAGE_BYTES_MAX = 16 * MB;
/** Objects of a connection in Node.js, and its part of a read buffer. */
export const CONNECTION_BYTES = 16 * 1024;
/** Objects of a request, of its response and of its relay, without a body. */
export const REQUEST_BYTES = 16 * 1024;
/** What the kernel keeps of a connection that is not accepted yet. */
const FIRST_WINDOW_BYTES = 64 * 1024;
/** Queue of new connections where nothing bounds it, as Node.js has it. */
const BACKLOG_MAX = 511;
const BACKLOG_MIN = 32;
/** Largest half-read head; the parser keeps it outside of any account. */
const HEAD_BYTES = 64 * 1024;
/** Files, listeners, connections to the store and between nodes. */
const PROGRAM_DESCRIPTORS = 64;

/** Limits of one node. */
export interface NodeLimits {
  /** Machine's memory if the settings name it. */
  readonly memoryBytes: number | undefined;
  /** All that is held for clients, upstreams and other nodes together. */
  readonly accountBytes: number;
  readonly responseBytes: number;
  readonly messageBytes: number;
  /** Requests in progress, each with up to one connection to an upstream. */
  readonly requestsMax: number;
  /** Connections on the callers' address. */
  readonly callerConnectionsMax: number;
  /** Connections on the address for other nodes. */
  readonly peerConnectionsMax: number;
  /** Connections on each of the directory, readiness and metrics addresses. */
  readonly systemConnectionsMax: number;
  /** Half-read heads on one address. */
  readonly headsMax: number;
  /**
   * Connections on one address that are not accepted yet. The kernel keeps what
   * they send.
   */
  readonly backlogMax: number;
}

/**
 * Derives the limits of a node.
 *
 * @param machine memory in MB, file descriptors, and what the program needs
 * itself; absent values are unknown.
 * @example
 * ```ts
 * memory.deriveLimits({ memoryMb: 160 }).accountBytes; // 22 MB
 * ```
 */
export function deriveLimits(
  { memoryMb, descriptorsMax, programMb = PROGRAM_MB }: {
    readonly memoryMb?: number;
    readonly descriptorsMax?: number;
    readonly programMb?: number;
  },
): NodeLimits {
  const freeMb = (memoryMb ?? MEMORY_DEFAULT_MB) - programMb;
  const accountBytes = Math.max(
    ACCOUNT_BYTES_MIN,
    Math.floor(freeMb * ACCOUNTED_PART * MB),
  );
  const descriptors = descriptorsMax === undefined
    ? Infinity
    : Math.max(descriptorsMax - PROGRAM_DESCRIPTORS, PROGRAM_DESCRIPTORS);
  const connectionBytes = Math.max(
    ACCOUNT_BYTES_MIN,
    Math.floor(freeMb * CONNECTIONS_PART * MB),
  );
  const connectionsMax = connectionBytes / FIRST_WINDOW_BYTES;
  const count = (ofMemory: number, ofDescriptors: number) =>
    Math.max(8, Math.floor(Math.min(ofMemory, descriptors * ofDescriptors)));
  return {
    memoryBytes: memoryMb === undefined ? undefined : memoryMb * MB,
    accountBytes,
    responseBytes: Math.min(RESPONSE_BYTES_MAX, accountBytes * 3 / 4),
    messageBytes: Math.min(MESSAGE_BYTES_MAX, accountBytes / 4),
    requestsMax: count(accountBytes / 4 / REQUEST_BYTES, 0.3),
    callerConnectionsMax: count(connectionsMax, 0.35),
    peerConnectionsMax: count(connectionsMax, 0.2),
    systemConnectionsMax: count(connectionsMax / 8, 0.05),
    headsMax: count(accountBytes / 8 / HEAD_BYTES, 0.2),
    backlogMax: Math.min(
      BACKLOG_MAX,
      Math.max(
        BACKLOG_MIN,
        Math.floor(connectionsMax / 4),
      ),
    ),
  };
}
