/** Supervision of long-running tasks: one that throws is restarted alone. */
import { jitterMs, sleep } from "./clock.ts";
import { messageOf } from "./failure.ts";
import type { Cleanup } from "./lifecycle.ts";
import type { Logger } from "./log.ts";

const RESTART_DELAY_MIN_MS = 50;
const RESTART_DELAY_MAX_MS = 2_000;

/** A long-running task, owned by one supervisor. */
export abstract class Task {
  /** Identifies the task in log lines. */
  abstract readonly name: string;
  /** Runs until the signal aborts; a task that throws is restarted. */
  abstract run(signal: AbortSignal): Promise<void>;
}

/**
 * Runs tasks independently of each other. A task that throws is restarted with
 * exponential back-off and jitter; one that returns is not.
 */
export class Supervisor {
  readonly name: string;
  readonly #logger: Logger;
  readonly #controller = new AbortController();
  readonly #running = new Set<Promise<void>>();
  readonly #children: Supervisor[] = [];

  constructor(name: string, logger: Logger) {
    this.name = name;
    this.#logger = logger;
  }

  /** Creates a child supervisor, which stops before this one does. */
  child(name: string): Supervisor {
    const child = new Supervisor(`${this.name}.${name}`, this.#logger);
    this.#children.push(child);
    return child;
  }

  /**
   * Starts a task and restarts it when it throws.
   *
   * @returns the cleanup that stops only this task and waits for its end.
   * @example
   * ```ts
   * const stop = supervisor.start(new HeartbeatTask(peers));
   * ```
   */
  start(task: Task): Cleanup {
    const taskController = new AbortController();
    const signal = AbortSignal.any([
      taskController.signal,
      this.#controller.signal,
    ]);
    const running = this.#runWithRestarts(task, signal);
    this.#running.add(running);
    running.finally(() => this.#running.delete(running));
    return async () => {
      taskController.abort();
      await running;
    };
  }

  /** Stops the child supervisors, last created first, then all own tasks. */
  async stop(): Promise<void> {
    for (const child of [...this.#children].reverse()) await child.stop();
    this.#controller.abort();
    await Promise.all(this.#running);
  }

  async #runWithRestarts(task: Task, signal: AbortSignal): Promise<void> {
    let delayMs = RESTART_DELAY_MIN_MS;
    while (!signal.aborted) {
      try {
        await task.run(signal);
        return;
      } catch (thrown) {
        this.#logRestart(task, thrown);
      }
      await sleep(jitterMs(delayMs), signal);
      delayMs = Math.min(delayMs * 2, RESTART_DELAY_MAX_MS);
    }
  }

  #logRestart(task: Task, thrown: unknown): void {
    if (this.#controller.signal.aborted) return;
    this.#logger.error("task_restarted", {
      task: `${this.name}.${task.name}`,
      reason: messageOf(thrown),
    });
  }
}
