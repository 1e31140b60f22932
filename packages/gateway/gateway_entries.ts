/** Endpoints for the list of entries, models, health and metrics. */
import type { Hono } from "hono";
import type * as peers from "../peers/mod.ts";
import * as core from "../core/mod.ts";
import {
  makeCallerTokens,
  makeOperatorTokens,
  problemResponse,
} from "./gateway_request.ts";
import type {
  GatewayContext,
  GatewayDependencies,
  GatewayEnv,
} from "./gateway_types.ts";

/** An instance that callers may connect to. */
export interface EntryAddress {
  readonly address: string;
  readonly failureDomain: string;
  /** Share of new connections, relative to the other entries. */
  readonly weight: number;
}

/**
 * Lists the active instances, highest weight first. Less loaded instances have
 * a higher weight. This instance is listed only while it is ready.
 */
export function listEntries(dependencies: GatewayDependencies): EntryAddress[] {
  const { directory, admission } = dependencies;
  const selfId = directory.self.instanceId;
  const members = directory.activeMembers().filter((member) =>
    member.instanceId !== selfId || admission.isReady
  );
  const averageLoad = members
    .reduce((sum, { load }) => sum + load, 0) / Math.max(1, members.length);
  return members
    .map((member) => toEntryAddress(member, averageLoad))
    .sort((a, b) => b.weight - a.weight);
}

function toEntryAddress(
  member: peers.PeerMember,
  averageLoad: number,
): EntryAddress {
  const weight = (averageLoad + 1) / (member.load + 1);
  return {
    address: member.callerAddress,
    failureDomain: member.failureDomain,
    weight: Math.round(Math.min(10, Math.max(0.1, weight)) * 100) / 100,
  };
}

function listModels(dependencies: GatewayDependencies): object {
  const rows = [...dependencies.tableCache.snapshot.rows.values()];
  const data = rows.map(({ row }) => ({
    id: row.name,
    object: "model",
    created: 0,
    owned_by: "carawaywind",
    ...(row.baseModel === undefined ? {} : { parent: row.baseModel }),
  }));
  return { object: "list", data };
}

/**
 * Registers the endpoints for entries, models, health and metrics.
 *
 * @example
 * ```ts
 * gateway.registerEntries(app, dependencies);
 * ```
 */
export function registerEntries(
  app: Hono<GatewayEnv>,
  dependencies: GatewayDependencies,
): void {
  const callers = makeCallerTokens(dependencies.settings);
  const operators = makeOperatorTokens(dependencies.settings);
  const isAuthorized = (context: GatewayContext) => {
    const header = context.req.header("authorization");
    return callers.find(header) !== undefined ||
      operators.find(header) !== undefined;
  };
  const tokenInvalid = core.refuse(core.TOKEN_INVALID, "who is this?");
  app.get("/v1/entries", (context) => {
    if (!isAuthorized(context)) return problemResponse(context, tokenInvalid);
    const maxAgeMs = dependencies.settings.drain.entriesMaxAgeMs;
    return context.json({ entries: listEntries(dependencies), maxAgeMs });
  });
  app.get("/v1/models", (context) => {
    if (!isAuthorized(context)) return problemResponse(context, tokenInvalid);
    return context.json(listModels(dependencies));
  });
  app.get("/v1/models/:name", (context) => {
    if (!isAuthorized(context)) return problemResponse(context, tokenInvalid);
    const name = context.req.param("name");
    if (dependencies.tableCache.row(core.brandId(name))) {
      return context.json({ id: name, object: "model", created: 0 });
    }
    const failure = core.refuse(core.MODEL_UNKNOWN, `no row named ${name}`);
    return problemResponse(context, failure);
  });
  app.get("/healthz", (context) => context.text("ok\n"));
  app.get("/readyz", (context) => {
    const { isReady, phase } = dependencies.admission;
    return context.text(`${phase}\n`, isReady ? 200 : 503);
  });
  app.get("/metrics", (context) =>
    context.text(dependencies.metrics.render({
      in_progress: dependencies.admission.inProgress,
      ...dependencies.gauges(),
    })));
}
