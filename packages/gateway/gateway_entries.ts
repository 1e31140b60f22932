/** Which instances callers should use, models, and health. */
import type { Hono } from "hono";
import type * as peers from "../peers/mod.ts";
import * as core from "../core/mod.ts";
import { callerTokens, operatorTokens, problem } from "./gateway_request.ts";
import type {
  GatewayContext,
  GatewayDependencies,
  GatewayEnv,
} from "./gateway_types.ts";

/** One instance that callers may use. */
export interface EntryAddress {
  readonly address: string;
  readonly failureDomain: string;
  /** Share of new connections, relative to the other entries. */
  readonly weight: number;
}

/** Lists the entries, best first. */
export function listEntries(parts: GatewayDependencies): EntryAddress[] {
  const { directory, admission } = parts;
  const selfId = directory.self.instanceId;
  const members = directory.activeMembers().filter((member) =>
    member.instanceId !== selfId || admission.isReady
  );
  const averageLoad = members
    .reduce((sum, { load }) => sum + load, 0) / Math.max(1, members.length);
  return members
    .map((member) => toEntry(member, averageLoad))
    .sort((a, b) => b.weight - a.weight);
}

function toEntry(member: peers.PeerMember, averageLoad: number): EntryAddress {
  const weight = (averageLoad + 1) / (member.load + 1);
  return {
    address: member.callerAddress,
    failureDomain: member.failureDomain,
    weight: Math.round(Math.min(10, Math.max(0.1, weight)) * 100) / 100,
  };
}

function listModels(parts: GatewayDependencies): object {
  const rows = [...parts.keeper.snapshot.rows.values()];
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
 * Registers entries, models, health and metrics.
 *
 * @example
 * ```ts
 * gateway.registerEntries(app, parts);
 * ```
 */
export function registerEntries(
  app: Hono<GatewayEnv>,
  parts: GatewayDependencies,
): void {
  const callers = callerTokens(parts.settings);
  const operators = operatorTokens(parts.settings);
  const isKnown = (context: GatewayContext) => {
    const header = context.req.header("authorization");
    return callers.find(header) !== undefined ||
      operators.find(header) !== undefined;
  };
  const unknown = core.refuse(core.TOKEN_INVALID, "who is this?");
  app.get("/v1/entries", (context) => {
    if (!isKnown(context)) return problem(context, unknown);
    const maxAgeMs = parts.settings.drain.entriesMaxAgeMs;
    return context.json({ entries: listEntries(parts), maxAgeMs });
  });
  app.get("/v1/models", (context) => {
    if (!isKnown(context)) return problem(context, unknown);
    return context.json(listModels(parts));
  });
  app.get("/v1/models/:name", (context) => {
    if (!isKnown(context)) return problem(context, unknown);
    const name = context.req.param("name");
    if (parts.keeper.row(core.brandId(name))) {
      return context.json({ id: name, object: "model", created: 0 });
    }
    const failure = core.refuse(core.MODEL_UNKNOWN, `no row named ${name}`);
    return problem(context, failure);
  });
  app.get("/healthz", (context) => context.text("ok\n"));
  app.get("/readyz", (context) => {
    const { isReady, phase } = parts.admission;
    return context.text(`${phase}\n`, isReady ? 200 : 503);
  });
  app.get("/metrics", (context) =>
    context.text(parts.metrics.render({
      in_progress: parts.admission.inProgress,
      ...parts.gauges(),
    })));
}
