/** Starts the entry nodes of a small deployment, as the deploy file has them. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));

/** The program and its arguments, from the `run` line of the deploy file. */
function runLine() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** A loopback address on which the fixed metrics port is free. */
async function freeHost() {
  for (;;) {
    const byte = () => 1 + Math.floor(Math.random() * 250);
    const host = `127.${byte()}.${byte()}.${byte()}`;
    if (await isFree(host, 9464)) return host;
  }
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

async function freePort(host) {
  const server = createServer();
  await new Promise((resolve) => server.listen(0, host, resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Nodes that run, to be ended with this process however it ends. */
const running = new Set();
process.once("exit", () => {
  for (const child of running) child.kill("SIGKILL");
});
for (const signal of ["SIGINT", "SIGTERM"]) {
  process.once(signal, () => process.exit(2));
}

/** One entry node in its own process. */
export class EntryNode {
  log = "";

  constructor(name, zone) {
    this.name = name;
    this.zone = zone;
  }

  /** @param storeAddress IP:PORT of the store. */
  async start(storeAddress, changes = {}) {
    this.folder = mkdtempSync(join(tmpdir(), "carawaywind-review-"));
    this.host = await freeHost();
    this.port = await freePort(this.host);
    this.readyPort = await freePort(this.host);
    const settings = {
      node: this.name,
      role: "entry",
      "machine-class": "front",
      serves: ["front", "directory"],
      ip: this.host,
      zone: this.zone,
      region: "atacama",
      listen: {
        front: `${this.host}:${this.port}`,
        ready: `${this.host}:${this.readyPort}`,
        directory: `${this.host}:${await freePort(this.host)}`,
      },
      "port-range": [await freePort(this.host), 65535],
      seeds: [],
      bootstrap: true,
      "beat-interval-ms": 1200,
      bounds: {
        "reuse-after-s": 2,
        "stable-window-ms": 3000,
        "drain-ms": 2000,
        "grace-s": 8,
        "config-apply-ms": 2000,
        "budget-ratio": 0.2,
        "budget-window-s": 10,
        "retry-slack": 56,
        "require-fence": true,
        "lease-ms": 3000,
        "ttl_max_s": 5,
        ...changes,
      },
      platform: { address: storeAddress, form: "table" },
    };
    this.settingsPath = join(this.folder, "boot.yaml");
    // JSON is YAML too.
    writeFileSync(this.settingsPath, JSON.stringify(settings, null, 2));
    this.spawn();
  }

  spawn() {
    const [program, ...args] = runLine();
    const command = program === "node" ? process.execPath : program;
    const { PATH, HOME } = process.env;
    this.child = spawn(command, args, {
      cwd: ROOT,
      env: { PATH, HOME, CARAWAYWIND_NODE_FILE: this.settingsPath },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const { child } = this;
    running.add(child);
    child.once("exit", () => running.delete(child));
    this.child.stdout.on("data", (data) => this.log += data);
    this.child.stderr.on("data", (data) => this.log += data);
  }

  get hasExited() {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /** Waits until the node says that it is ready. */
  async ready() {
    for (let tries = 0; tries < 200; tries++) {
      const { host, readyPort: port } = this;
      const status = await new Promise((resolve) => {
        get({ host, port, path: "/carawaywind/ready" }, (response) => {
          response.resume();
          resolve(response.statusCode);
        }).on("error", () => resolve(0));
      });
      if (status === 200) return;
      if (this.hasExited) break;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    throw new Error(`${this.name} did not become ready\n${this.log}`);
  }

  async kill() {
    if (this.child && !this.hasExited) {
      const exit = once(this.child, "exit");
      this.child.kill("SIGCONT");
      this.child.kill("SIGKILL");
      await exit;
    }
    if (this.folder) rmSync(this.folder, { recursive: true, force: true });
  }
}
