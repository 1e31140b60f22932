/** Matches requests to routes by host and longest path prefix. */
import type * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";

/** The routes of one configuration version, indexed by host and prefix. */
export class RouteTable {
  readonly version: number;
  readonly #byHost = new Map<string, Map<string, fleet.RouteSpec>>();
  #prefixLengthMax = 0;

  constructor(version: number, routes: readonly fleet.RouteSpec[]) {
    this.version = version;
    for (const route of routes) {
      const host = route.host.toLowerCase();
      let prefixes = this.#byHost.get(host);
      if (!prefixes) this.#byHost.set(host, prefixes = new Map());
      prefixes.set(route.pathPrefix, route);
      const { length } = route.pathPrefix;
      this.#prefixLengthMax = Math.max(this.#prefixLengthMax, length);
    }
  }

  /**
   * Finds the route with the longest prefix of the path.
   *
   * @param host the Host header, with or without a port.
   * @param path the request target; the query is ignored.
   * @example
   * ```ts
   * const route = table.match("shop.example", "/orders/17?full=1");
   * ```
   */
  match(host: string, path: string): fleet.RouteSpec | undefined {
    const prefixes = this.#byHost.get(hostOf(host));
    if (!prefixes) return undefined;
    const end = path.search(/[?#]/);
    const pathname = end < 0 ? path : path.slice(0, end);
    // Prefixes end with a slash, so only cuts at slashes can match.
    for (
      let cut = pathname.lastIndexOf("/", this.#prefixLengthMax - 1);
      cut >= 0;
      cut = cut === 0 ? -1 : pathname.lastIndexOf("/", cut - 1)
    ) {
      const route = prefixes.get(pathname.slice(0, cut + 1));
      if (route) return route;
    }
    return undefined;
  }
}

/**
 * Selects one of a route's services by weight.
 *
 * @param point a number in [0, 1), such as from a random source.
 * @returns undefined when every weight is 0.
 * @example
 * ```ts
 * const service = routes.pickTarget(route, Math.random());
 * ```
 */
export function pickTarget(
  route: fleet.RouteSpec,
  point: number,
): core.ServiceName | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = point * total;
  for (const { service, weight } of route.targets) {
    if (weight > 0 && remaining < weight) return service;
    remaining -= weight;
  }
  return undefined;
}

function hostOf(header: string): string {
  const colon = header.lastIndexOf(":");
  const isPort = colon > 0 && /^\d+$/.test(header.slice(colon + 1));
  return (isPort ? header.slice(0, colon) : header).toLowerCase();
}
