/** Child processes of tests, the demo and benchmarks. */
import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { createInterface } from "node:readline";

/** A running child process and the JSON line it printed once it was ready. */
export class StartedProcess<Ready> {
  readonly name: string;
  readonly ready: Ready;
  readonly #child: ChildProcess;
  readonly #exited: Promise<number | null>;
  /** Lines of its stderr so far. */
  readonly stderrLines: readonly string[];

  constructor(
    name: string,
    ready: Ready,
    child: ChildProcess,
    stderrLines: readonly string[],
  ) {
    this.name = name;
    this.ready = ready;
    this.stderrLines = stderrLines;
    this.#child = child;
    this.#exited = new Promise((resolve) => {
      if (child.exitCode !== null) resolve(child.exitCode);
      child.once("exit", (code) => resolve(code));
    });
  }

  get pid(): number {
    return this.#child.pid ?? 0;
  }

  get hasExited(): boolean {
    return this.#child.exitCode !== null || this.#child.signalCode !== null;
  }

  /** Sends a signal to this process only. */
  signal(name: NodeJS.Signals): void {
    this.#child.kill(name);
  }

  /** Closes the pipe of its stderr, as a collector of logs that restarts. */
  closeStderr(): void {
    this.#child.stderr?.destroy();
  }

  /** Waits for the exit; resolves to the exit code, or null after a signal. */
  exited(): Promise<number | null> {
    return this.#exited;
  }

  /** Kills the process, even if it is stopped, and waits for its exit. */
  async kill(): Promise<void> {
    if (!this.hasExited) {
      this.#child.kill("SIGCONT");
      this.#child.kill("SIGKILL");
    }
    await this.#exited;
  }
}

/**
 * Starts a Node script and waits for its first line of output, parsed as JSON.
 * Fails with the script's stderr if it exits before that.
 */
export async function startProcess<Ready>(
  name: string,
  args: readonly string[],
): Promise<StartedProcess<Ready>> {
  const flags = process.env.CARAWAYWIND_NODE_FLAGS?.split(" ") ?? [];
  const child = spawn(process.execPath, [...flags, ...args], {
    stdio: ["ignore", "pipe", "pipe", "ipc"],
  });
  const stderrLines: string[] = [];
  const { stdout, stderr } = child;
  if (stdout === null || stderr === null) {
    throw new Error("The child process has no pipes");
  }
  createInterface({ input: stderr }).on("line", (line) => {
    stderrLines.push(line);
    if (process.env.CARAWAYWIND_LOGS) process.stderr.write(`${line}\n`);
  });
  const line = await new Promise<string>((resolve, reject) => {
    const lines = createInterface({ input: stdout });
    lines.once("line", resolve);
    child.once(
      "exit",
      (code) =>
        reject(
          new Error(`${name} exited with ${code}: ${stderrLines.join("\n")}`),
        ),
    );
  });
  return new StartedProcess<Ready>(name, JSON.parse(line), child, stderrLines);
}
