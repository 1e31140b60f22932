/** Fault injection: the faults that a test configures on a fake. */

/** A fault that affects up to `count` requests. */
export interface Fault {
  readonly name: string;
  /** Number of requests affected; unlimited when absent. */
  readonly count?: number;
  readonly delayMs?: number;
  /** Affects only requests whose body or path contains this text. */
  readonly match?: string;
}

/** The active faults of one fake. */
export class FaultInjector {
  #active: { fault: Fault; remaining: number }[] = [];
  /** Number of requests that each fault has affected, by fault name. */
  readonly consumedCounts = new Map<string, number>();

  inject(fault: Fault): void {
    this.#active.push({ fault, remaining: fault.count ?? Infinity });
  }

  /** Removes all faults, or only those with the given name. */
  clear(name?: string): void {
    this.#active = name === undefined
      ? []
      : this.#active.filter((entry) => entry.fault.name !== name);
  }

  /** Returns an active fault that matches and counts one use of it. */
  consume(name: string, text = ""): Fault | undefined {
    const entry = this.#active.find(({ fault, remaining }) =>
      fault.name === name && remaining > 0 && text.includes(fault.match ?? "")
    );
    if (entry === undefined) return undefined;
    entry.remaining--;
    this.consumedCounts.set(name, (this.consumedCounts.get(name) ?? 0) + 1);
    return entry.fault;
  }
}
