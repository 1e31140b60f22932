/** What the gateway works with. */
import type { HttpBindings } from "@hono/node-server";
import type { Context } from "hono";
import type * as claims from "../claims/mod.ts";
import type * as core from "../core/mod.ts";
import type * as limits from "../limits/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import type * as peers from "../peers/mod.ts";
import type * as placement from "../placement/mod.ts";
import type * as store from "../store/mod.ts";
import type * as routing from "../routing/mod.ts";
import type * as settings from "../settings/mod.ts";
import type * as table from "../table/mod.ts";
import type * as upstream from "../upstream/mod.ts";
import type { GatewayAdmission } from "./gateway_admission.ts";

/** Hono's environment on Node. */
export interface GatewayEnv {
  Bindings: HttpBindings;
}

/** A request's context. */
export type GatewayContext = Context<GatewayEnv>;

/** Gives clients of upstreams. */
export abstract class UpstreamClients {
  abstract engine(view: routing.EngineView): upstream.Engine;
  abstract service(listed: store.ListedInstance): upstream.PlainService;
}

/** Everything that the gateway's handlers share. */
export interface GatewayDependencies {
  readonly settings: settings.Settings;
  readonly logger: core.Logger;
  readonly keeper: table.TableKeeper;
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
  /** Called after a table edit was accepted here. */
  readonly onEdit: () => void;
  /** Called when a request begins to wait for its row to be loaded. */
  readonly onColdStart: () => void;
  /** More gauges for scraping and status. */
  readonly gauges: () => Readonly<Record<string, number>>;
}
