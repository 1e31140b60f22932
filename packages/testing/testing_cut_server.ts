/** A server that stops in the middle of its answers. */
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";

/** How a connection is closed after an answer. */
export type CutKind = "close" | "reset";

/**
 * Answers the first request of each connection with bytes, and closes it.
 *
 * @example
 * ```ts
 * const server = await testing.CutServer.start();
 * server.answer = "HTTP/1.1 200 OK\r\nconte";
 * ```
 */
export class CutServer {
  readonly #server = createServer((socket) => this.#serve(socket));
  readonly #open = new Set<Socket>();
  /** The bytes of the next answers. */
  answer = "";
  cut: CutKind = "close";

  static async start(): Promise<CutServer> {
    const server = new CutServer();
    server.#server.listen(0, "127.0.0.1");
    await once(server.#server, "listening");
    return server;
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  get origin(): string {
    return `http://${this.address}`;
  }

  stop(): void {
    this.#server.close();
    for (const socket of this.#open) socket.destroy();
  }

  #serve(socket: Socket): void {
    this.#open.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("close", () => this.#open.delete(socket));
    socket.once("data", () => {
      const end = () => {
        if (this.cut === "close") socket.end();
        else setTimeout(() => socket.resetAndDestroy(), 1);
      };
      if (this.answer === "") end();
      else socket.write(this.answer, end);
    });
  }
}

/**
 * Returns each way in which an answer stops before the end of its head.
 *
 * @example
 * ```ts
 * for (const { bytes, cut } of testing.cutHeads(answer)) {}
 * ```
 */
export function* cutHeads(
  answer: string,
): Generator<{ readonly bytes: string; readonly cut: CutKind }> {
  const headLength = answer.indexOf("\r\n\r\n") + 4;
  for (let length = 0; length < headLength; length++) {
    for (const cut of ["close", "reset"] as const) {
      yield { bytes: answer.slice(0, length), cut };
    }
  }
}
