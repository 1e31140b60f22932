/** A TCP link on loopback that can be cut, silenced, or cut one way. */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/**
 * `blackhole` swallows both ways, `dropReplies` only what comes back; both
 * also hold for connections that stand. `reset` cuts and refuses.
 */
export type LinkMode = "pass" | "reset" | "blackhole" | "dropReplies";

/** Passes connections on to a port. */
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

  /** What happens to bytes from now on. */
  set mode(mode: LinkMode) {
    this.#mode = mode;
    if (mode !== "reset") return;
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Starts listening and returns the port. */
  async start(targetPort = 0): Promise<number> {
    this.targetPort = targetPort;
    const server = createServer((socket) => this.#accept(socket));
    this.#server = server;
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    return (server.address() as AddressInfo).port;
  }

  /** Cuts everything and stops listening. */
  async stop(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    const server = this.#server;
    this.#server = undefined;
    if (server === undefined) return;
    await new Promise<void>((resolve) => server.close(() => resolve()));
  }

  #accept(near: Socket): void {
    this.#track(near);
    if (this.#mode === "reset") {
      near.destroy();
      return;
    }
    const far = connect(this.targetPort, "127.0.0.1");
    this.#track(far);
    near.on("data", (bytes) => {
      if (this.#mode !== "blackhole") far.write(bytes);
    });
    far.on("data", (bytes) => {
      if (this.#mode === "pass") near.write(bytes);
    });
    near.on("close", () => far.destroy());
    far.on("close", () => {
      if (this.#mode === "pass") near.destroy();
    });
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => this.#sockets.delete(socket));
  }
}
