/** Types and dependencies shared by the gateway's handlers. */
import type { HttpBindings } from "@hono/node-server";
import type { Context } from "hono";
import type * as claims from "../claims/mod.ts";
import type * as core from "../core/mod.ts";
import type * as fairness from "../fairness/mod.ts";
import type * as limits from "../limits/mod.ts";
import type * as memory from "../memory/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import type * as peers from "../peers/mod.ts";
import type * as placement from "../placement/mod.ts";
import type * as store from "../store/mod.ts";
import type * as routing from "../routing/mod.ts";
import type * as settings from "../settings/mod.ts";
import type * as table from "../table/mod.ts";
import type * as upstream from "../upstream/mod.ts";
import type { GatewayAdmission } from "./gateway_admission.ts";

/** What the listener passes to handlers with each request. */
export interface GatewayBindings extends HttpBindings {
  /** Whether later requests have arrived on the caller's connection. */
  readonly hasLaterRequests: () => boolean;
}

/** Hono environment with the listener's bindings. */
export interface GatewayEnv {
  Bindings: GatewayBindings;
}

/** Hono context of one request. */
export type GatewayContext = Context<GatewayEnv>;

/** Provides the clients for engines and service instances. */
export abstract class UpstreamClients {
  abstract engine(view: routing.EngineView): upstream.Engine;
  abstract service(listed: store.ListedInstance): upstream.PlainService;
}

/** Dependencies shared by all handlers of the gateway. */
export interface GatewayDependencies {
  readonly settings: settings.Settings;
  readonly logger: core.Logger;
  readonly tableCache: table.TableCache;
  readonly tableStore: table.TableStore;
  readonly fleet: routing.Fleet;
  readonly policy: routing.RoutingPolicy;
  readonly retryBudget: routing.RetryBudget;
  readonly clients: UpstreamClients;
  readonly claims: claims.ClaimRunner;
  readonly demand: placement.LocalDemand;
  readonly limits: limits.LimitShares;
  readonly directory: peers.PeerDirectory;
  readonly admission: GatewayAdmission;
  readonly metrics: metrics.MetricsRecorder;
  readonly burn: metrics.BurnTracker;
  /** Order in which the callers' requests get places on engines. */
  readonly teamOrder: fairness.TeamOrder;
  readonly limitReporter: memory.LimitReporter;
  /** Called after this instance has accepted a table edit. */
  readonly onEdit: () => void;
  /**
   * Called when a request finds its row not loaded, whether the request waits
   * or is rejected.
   */
  readonly onColdStart: () => void;
  /** Returns the additional gauges for `/metrics` and `/v1/status`. */
  readonly gauges: () => Readonly<Record<string, number>>;
}
