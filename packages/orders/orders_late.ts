/**
 * Orders without a reply. The engine may carry them out late, as long as its
 * order count is the one that they name: also in a later incarnation under the
 * same id, whose count and fences begin anew.
 */
import type * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";

/**
 * Time after which an order is not carried out any more; the engines' data
 * sheets say up to 12 s.
 */
const LATE_MAX_MS = 30_000;

/** Weight memory and adapter slots of an engine. */
export interface EngineRoom {
  readonly mb: number;
  readonly adapterSlots: number;
}

/** An order, whoever sent it. */
export type UnsignedOrder = Omit<fleet.Order, "holder">;

/** An order without a reply, and when it was last sent. */
export interface LateOrder {
  readonly order: UnsignedOrder;
  /** On the monotonic clock. */
  readonly sentAtMs: number;
}

/** The orders without a reply to all incarnations with one engine's id. */
export class LateOrders {
  /** By what the engine is to do at which count, and the token. */
  readonly #orders = new Map<string, LateOrder>();

  /**
   * Records an order that is about to be sent.
   *
   * @returns a function to call when the engine has answered it.
   * @example
   * ```ts
   * const settle = late.record(order, core.monotonicMs());
   * if (await control.sendOrder(engine, order, timeoutMs) !== "lost") settle();
   * ```
   */
  record(order: UnsignedOrder, nowMs: number): () => void {
    const key = keyOf(order);
    // The reply is to the last sending alone.
    const before = this.#orders.get(key);
    this.add({ order, sentAtMs: nowMs });
    return () => {
      if (before) this.#orders.set(key, before);
      else this.#orders.delete(key);
    };
  }

  /** Adds an order that another node has sent. */
  add(late: LateOrder): void {
    const key = keyOf(late.order);
    const known = this.#orders.get(key);
    if (!known || known.sentAtMs < late.sentAtMs) this.#orders.set(key, late);
  }

  /** The orders that may still be carried out. */
  all(nowMs: number): LateOrder[] {
    for (const [key, { sentAtMs }] of this.#orders) {
      if (nowMs - sentAtMs > LATE_MAX_MS) this.#orders.delete(key);
    }
    return [...this.#orders.values()];
  }

  /** Whether all orders were answered, or are too old to be carried out. */
  isEmpty(nowMs: number): boolean {
    return this.#pending(nowMs).length === 0;
  }

  /**
   * The highest fencing token of the orders that the engine may accept after
   * further ones; undefined if there are none.
   *
   * @param orderCount the count of its current incarnation.
   */
  highestToken(orderCount: number, nowMs: number): number | undefined {
    const tokens = this.#acceptable(orderCount, nowMs)
      .map(({ fencingToken }) => fencingToken);
    return tokens.length === 0 ? undefined : Math.max(...tokens);
  }

  /**
   * The most that the engine may load for late orders after further ones.
   *
   * @param isHeld whether it holds what an order loads.
   */
  roomAfter(
    orderCount: number,
    nowMs: number,
    spec: fleet.EngineSpec,
    isHeld: (order: UnsignedOrder) => boolean,
  ): EngineRoom {
    const loads = this.#acceptable(orderCount, nowMs)
      .filter((order) => !isHeld(order));
    return roomOf(loads, spec);
  }

  /**
   * The most that the engine may load besides an order with this count, should
   * it start again and that order be late as well. Before any other order it
   * accepts late ones only if they name consecutive counts from 0.
   */
  roomFromStart(
    orderCount: number,
    nowMs: number,
    spec: fleet.EngineSpec,
  ): EngineRoom {
    const pending = this.#pending(nowMs);
    let held: UnsignedOrder[] = [];
    let most: EngineRoom = { mb: 0, adapterSlots: 0 };
    for (let count = 0;; count++) {
      if (count !== orderCount) {
        const next = pending
          .filter(({ expectedOrderCount }) => expectedOrderCount === count);
        if (next.length === 0) return most;
        held = afterOneOf(held, next);
      }
      if (count >= orderCount) most = maxRoom(most, roomOf(held, spec));
    }
  }

  /** Orders with the present count compete with the next one, and are safe. */
  #acceptable(orderCount: number, nowMs: number): UnsignedOrder[] {
    return this.#pending(nowMs)
      .filter(({ expectedOrderCount }) => expectedOrderCount > orderCount);
  }

  #pending(nowMs: number): UnsignedOrder[] {
    return this.all(nowMs).map(({ order }) => order);
  }
}

function keyOf(order: UnsignedOrder): string {
  const { kind, model, adapter, expectedOrderCount, fencingToken } = order;
  return [kind, model, adapter ?? "", expectedOrderCount, fencingToken]
    .join(" ");
}

/** The loads that may be held after any one of some orders. */
function afterOneOf(
  held: readonly UnsignedOrder[],
  orders: readonly UnsignedOrder[],
): UnsignedOrder[] {
  const loads = orders.filter(({ kind }) => kind === "load");
  if (loads.length > 0) return [...held, ...loads];
  return held.filter((load) =>
    !orders.every(({ model, adapter }) =>
      load.model === model &&
      (adapter === undefined || load.adapter === adapter)
    )
  );
}

function maxRoom(a: EngineRoom, b: EngineRoom): EngineRoom {
  return {
    mb: Math.max(a.mb, b.mb),
    adapterSlots: Math.max(a.adapterSlots, b.adapterSlots),
  };
}

/** The room that all loads together take, each model and adapter once. */
function roomOf(
  orders: readonly UnsignedOrder[],
  spec: fleet.EngineSpec,
): EngineRoom {
  const models = new Set<core.ModelName>();
  const adapters = new Map<string, core.ModelName>();
  for (const { kind, model, adapter } of orders) {
    if (kind !== "load") continue;
    if (adapter === undefined) models.add(model);
    else adapters.set(`${model}/${adapter}`, model);
  }
  const { weightMemoryMb: unknownMb } = spec;
  let mb = 0;
  for (const model of models) {
    mb += spec.models.get(model)?.weightsMb ?? unknownMb;
  }
  for (const model of adapters.values()) {
    mb += spec.models.get(model)?.adapterMb ?? unknownMb;
  }
  return { mb, adapterSlots: adapters.size };
}
