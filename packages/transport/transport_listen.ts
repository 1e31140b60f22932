/** Starts and stops servers. */
import type { Server as HttpServer } from "node:http";
import type { ListenOptions, Server } from "node:net";
import * as core from "../core/mod.ts";

/** What may keep an address from being bound now, but not for good. */
const PASSING_CODES: ReadonlySet<string | undefined> = new Set([
  "EADDRINUSE",
  "EADDRNOTAVAIL",
]);
const RETRY_INTERVAL_MS = 100;

/** How long to wait for an address that cannot be bound at the moment. */
export interface ListenPatience {
  /** Longest wait; Infinity waits until the signal aborts. */
  readonly timeoutMs: number;
  /** Called when the wait begins. */
  readonly onWait?: (reason: string) => void;
  /** Ends the wait. */
  readonly signal?: AbortSignal;
  /** Connections that may wait to be accepted; 511 by default. */
  readonly backlogMax?: number;
}

const NO_PATIENCE: ListenPatience = { timeoutMs: 0 };

function tryListen(server: Server, options: ListenOptions): Promise<void> {
  return new Promise((resolve, reject) => {
    const onListening = () => {
      server.off("error", onError);
      resolve();
    };
    const onError = (error: Error) => {
      server.off("listening", onListening);
      reject(error);
    };
    server.once("listening", onListening);
    server.once("error", onError);
    server.listen(options);
  });
}

/**
 * Binds a server to an address. One that another process still uses, or that
 * the machine does not have yet, is tried again as long as the patience lasts.
 *
 * @throws the system's error if the address cannot be bound.
 * @example
 * ```ts
 * await transport.listen(server, "10.0.0.1", 7380, { timeoutMs: 10_000 });
 * ```
 */
export async function listen(
  server: Server,
  host: string,
  port: number,
  { timeoutMs, onWait, signal, backlogMax }: ListenPatience = NO_PATIENCE,
): Promise<void> {
  const deadline = new core.Deadline(timeoutMs);
  const options = {
    host,
    port,
    ...(backlogMax === undefined ? {} : { backlog: backlogMax }),
  };
  for (let isFirst = true;; isFirst = false) {
    try {
      return await tryListen(server, options);
    } catch (thrown) {
      const { code } = thrown as NodeJS.ErrnoException;
      if (!PASSING_CODES.has(code) || deadline.isOver()) throw thrown;
      if (isFirst) onWait?.(core.messageOf(thrown));
      const isOver = !await core.sleep(RETRY_INTERVAL_MS, signal);
      if (isOver) throw thrown;
    }
  }
}

/**
 * Starts an HTTP server on an address.
 *
 * @returns a cleanup that stops listening and closes all connections.
 * @throws the system's error if the address cannot be bound.
 * @example
 * ```ts
 * lifecycle.addCleanup(await transport.startServer(server, "10.0.0.1", 7380));
 * ```
 */
export async function startServer(
  server: HttpServer,
  host: string,
  port: number,
  patience?: ListenPatience,
): Promise<core.Cleanup> {
  await listen(server, host, port, patience);
  return () => {
    server.close();
    server.closeAllConnections();
  };
}
