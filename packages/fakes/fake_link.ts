/** A TCP proxy on loopback that simulates network faults on a link. */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/**
 * How the proxy treats traffic. `blackhole` discards bytes in both directions
 * and `dropReplies` only those from the target; both also apply to open
 * connections. `reset` closes open connections and rejects new ones.
 */
export type LinkMode = "pass" | "reset" | "blackhole" | "dropReplies";

/** Forwards connections to a port of the loopback interface. */
export class FakeLink {
  targetPort = 0;
  #mode: LinkMode = "pass";
  #server: Server | undefined;
  readonly #sockets = new Set<Socket>();

  /** Origin such as `http://127.0.0.1:9000`. */
  get origin(): string {
    const address = this.#server?.address() as AddressInfo | undefined;
    return `http://127.0.0.1:${address?.port ?? 0}`;
  }

  /** Changes how traffic is treated, for open connections too. */
  set mode(mode: LinkMode) {
    this.#mode = mode;
    if (mode !== "reset") return;
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Starts listening on a free port and returns that port. */
  async start(targetPort = 0): Promise<number> {
    this.targetPort = targetPort;
    const server = createServer((socket) => this.#accept(socket));
    this.#server = server;
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    return (server.address() as AddressInfo).port;
  }

  /** Closes all connections and stops listening. */
  async stop(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    const server = this.#server;
    this.#server = undefined;
    if (server === undefined) return;
    await new Promise<void>((resolve) => server.close(() => resolve()));
  }

  #accept(clientSocket: Socket): void {
    this.#track(clientSocket);
    if (this.#mode === "reset") {
      clientSocket.destroy();
      return;
    }
    const targetSocket = connect(this.targetPort, "127.0.0.1");
    this.#track(targetSocket);
    clientSocket.on("data", (bytes) => {
      if (this.#mode !== "blackhole") targetSocket.write(bytes);
    });
    targetSocket.on("data", (bytes) => {
      if (this.#mode === "pass") clientSocket.write(bytes);
    });
    clientSocket.on("close", () => targetSocket.destroy());
    targetSocket.on("close", () => {
      if (this.#mode === "pass") clientSocket.destroy();
    });
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => this.#sockets.delete(socket));
  }
}
