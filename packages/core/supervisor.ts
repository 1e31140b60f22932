/** Supervision: long-running tasks are restarted alone when they throw. */
import { jitterMs, sleep } from "./clock.ts";
import { messageOf } from "./failure.ts";
import type { Cleanup } from "./lifecycle.ts";
import type { Logger } from "./log.ts";

const RESTART_DELAY_MIN_MS = 50;
const RESTART_DELAY_MAX_MS = 2_000;

/** A long-running activity with one owner. */
export abstract class Task {
  /** Name in log lines. */
  abstract readonly name: string;
  /** Runs until the signal aborts; throwing means a restart. */
  abstract run(signal: AbortSignal): Promise<void>;
}

/** Runs tasks one for one: a task that throws is restarted with back-off. */
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

  /** Makes a supervisor below this one; it stops with it. */
  child(name: string): Supervisor {
    const child = new Supervisor(`${this.name}.${name}`, this.#logger);
    this.#children.push(child);
    return child;
  }

  /**
   * Starts a task and keeps it running.
   *
   * @returns the clean-up that stops this task alone.
   * @example
   * ```ts
   * const stop = supervisor.start(new HeartbeatTask(peers));
   * ```
   */
  start(task: Task): Cleanup {
    const own = new AbortController();
    const signal = AbortSignal.any([own.signal, this.#controller.signal]);
    const running = this.#keep(task, signal);
    this.#running.add(running);
    running.finally(() => this.#running.delete(running));
    return async () => {
      own.abort();
      await running;
    };
  }

  /** Stops the children, then every task, and waits for them. */
  async stop(): Promise<void> {
    for (const child of [...this.#children].reverse()) await child.stop();
    this.#controller.abort();
    await Promise.all(this.#running);
  }

  async #keep(task: Task, signal: AbortSignal): Promise<void> {
    let delayMs = RESTART_DELAY_MIN_MS;
    while (!signal.aborted) {
      try {
        await task.run(signal);
        return;
      } catch (thrown) {
        this.#report(task, thrown);
      }
      await sleep(jitterMs(delayMs), signal);
      delayMs = Math.min(delayMs * 2, RESTART_DELAY_MAX_MS);
    }
  }

  #report(task: Task, thrown: unknown): void {
    if (this.#controller.signal.aborted) return;
    this.#logger.error("task_restarted", {
      task: `${this.name}.${task.name}`,
      reason: messageOf(thrown),
    });
  }
}
