/** Faults that a test asks a fake to show. */

/** One fault, used up by as many requests as `count` says. */
export interface Fault {
  readonly name: string;
  /** How many requests it hits; endless when absent. */
  readonly count?: number;
  readonly delayMs?: number;
  /** Only requests whose body or path holds this text. */
  readonly match?: string;
}

/** The faults set on one fake. */
export class Faults {
  #pending: { fault: Fault; left: number }[] = [];
  readonly consumedCounts = new Map<string, number>();

  /** Adds a fault. */
  inject(fault: Fault): void {
    this.#pending.push({ fault, left: fault.count ?? Infinity });
  }

  /** Removes every fault, or those of one name. */
  clear(name?: string): void {
    this.#pending = name === undefined
      ? []
      : this.#pending.filter((entry) => entry.fault.name !== name);
  }

  /** Uses up and returns a fault of this name, if one is set. */
  consume(name: string, text = ""): Fault | undefined {
    const entry = this.#pending.find(({ fault, left }) =>
      fault.name === name && left > 0 && text.includes(fault.match ?? "")
    );
    if (entry === undefined) return undefined;
    entry.left--;
    this.consumedCounts.set(name, (this.consumedCounts.get(name) ?? 0) + 1);
    return entry.fault;
  }
}
