/**
 * Holds signals from the first moment of a process until their handlers are
 * registered. Imports nothing of the program, so that it is loaded at once.
 */
import process from "node:process";

/** Signals that a platform or an operator sends to a process that serves. */
export type SignalName = "SIGHUP" | "SIGINT" | "SIGTERM";

/** Unregisters a handler. */
export type Cleanup = () => void;

/** Signals that were received and those that have a handler. */
export class HeldSignals {
  readonly #received = new Set<SignalName>();
  readonly #handlers = new Map<SignalName, () => void>();

  constructor(names: readonly SignalName[]) {
    for (const name of names) process.on(name, () => this.#deliver(name));
  }

  /** Signals that wait for a handler, in the order in which they came. */
  get waiting(): readonly SignalName[] {
    return [...this.#received];
  }

  /**
   * Registers the handler of a signal in place of an earlier one. If the signal
   * has been received already, the handler runs at once.
   *
   * @example
   * ```ts
   * const unregister = held.register("SIGTERM", () => node.stop());
   * ```
   */
  register(name: SignalName, handler: () => void): Cleanup {
    this.#handlers.set(name, handler);
    if (this.#received.delete(name)) handler();
    return () => {
      if (this.#handlers.get(name) === handler) this.#handlers.delete(name);
    };
  }

  #deliver(name: SignalName): void {
    const handler = this.#handlers.get(name);
    if (handler) handler();
    else this.#received.add(name);
  }
}

/**
 * Keeps signals from ending the process, and holds them until a handler is
 * registered. Call it before the program is imported.
 *
 * @example
 * ```ts
 * const held = signals.holdSignals("SIGHUP", "SIGTERM");
 * const program = await import("./program.ts");
 * ```
 */
export function holdSignals(...names: SignalName[]): HeldSignals {
  return new HeldSignals(names);
}
