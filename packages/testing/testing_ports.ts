/** Ports for processes that are told their ports and may be started again. */
import { once } from "node:events";
import { createServer } from "node:net";
import process from "node:process";

/**
 * Below the range of which Linux takes ports for outgoing connections: such a
 * connection of another test could hold the port of a process that restarts.
 */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/** Ports between the first ones of two test processes with following ids. */
const PORTS_PER_PROCESS = 97;

let offset = process.pid * PORTS_PER_PROCESS;

/** Returns ports on loopback that no process listens on. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = FIRST_PORT + offset++ % PORT_COUNT;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer().listen(port, "127.0.0.1");
  try {
    await once(server, "listening");
    return true;
  } catch {
    return false;
  } finally {
    server.close();
  }
}
