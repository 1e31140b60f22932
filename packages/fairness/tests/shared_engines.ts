/** Requests of teams that wait for engines with one slot, without network. */
import * as core from "../../core/mod.ts";
import type { OrderedRequest, ServiceOrder } from "../mod.ts";

export function teamName(name: string | number): core.TeamName {
  return core.brandId<core.TeamName>(String(name));
}

export function makeRequest(
  change: Partial<OrderedRequest> = {},
): OrderedRequest {
  return {
    priority: 0,
    arrivedAtMs: 0,
    targetAtMs: Infinity,
    modelKey: "m",
    workMs: 100,
    ...change,
  };
}

/** A queue before engines; one of them is free whenever `serveOne` is called. */
export class SharedEngines<Order extends ServiceOrder = ServiceOrder> {
  readonly queued = new Set<OrderedRequest>();
  readonly order: Order;
  /** Engine time granted, by team and by `team model`. */
  readonly grantedMs = new Map<string, number>();

  constructor(order: Order) {
    this.order = order;
  }

  add(request: OrderedRequest): void {
    this.queued.add(request);
    this.order.onQueued(request, 0);
  }

  remove(request: OrderedRequest): void {
    if (this.queued.delete(request)) this.order.onDequeued(request);
  }

  /** Serves the first request that the free engine can run. */
  serveOne(
    canRun: (request: OrderedRequest) => boolean = () => true,
    nowMs = 0,
  ): OrderedRequest | undefined {
    let served: OrderedRequest | undefined;
    this.order.serve([...this.queued], nowMs, (request) => {
      if (served || !canRun(request)) return false;
      served = request;
      this.remove(request);
      return true;
    });
    if (served) this.#add(served);
    return served;
  }

  granted(key: string): number {
    return this.grantedMs.get(key) ?? 0;
  }

  #add({ team, modelKey, workMs }: OrderedRequest): void {
    for (const key of [`${team}`, `${team} ${modelKey}`]) {
      this.grantedMs.set(key, this.granted(key) + workMs);
    }
  }
}
