/**
 * Operator endpoints: the table, its edits and history, status, and the burn
 * rates of the error budget.
 */
import type { Hono } from "hono";
import * as core from "../core/mod.ts";
import * as table from "../table/mod.ts";
import { listEntries } from "./gateway_entries.ts";
import { makeOperatorTokens, problemResponse } from "./gateway_request.ts";
import type {
  GatewayContext,
  GatewayDependencies,
  GatewayEnv,
} from "./gateway_types.ts";

const HISTORY_MAX = 100;

type OperatorHandler = (
  context: GatewayContext,
  operatorId: core.OperatorId,
) => Response | Promise<Response>;

async function acceptEdit(
  context: GatewayContext,
  dependencies: GatewayDependencies,
  operatorId: core.OperatorId,
): Promise<Response> {
  const startedAtMs = core.monotonicMs();
  const edit = table.decodeEdit(await context.req.text(), operatorId);
  if (edit.isErr()) {
    return problemResponse(context, core.refuse(core.EDIT_INVALID, edit.error));
  }
  const minRevision = dependencies.tableCache.snapshot.revision;
  const accepted = await dependencies.tableStore.commitEdit(
    edit.value,
    minRevision,
  );
  if (accepted.isErr()) {
    dependencies.logger.warn("edit_refused", {
      editId: edit.value.editId,
      operatorId,
      code: accepted.error.result.code,
      detail: accepted.error.detail,
    });
    return problemResponse(context, accepted.error);
  }
  const { revision, snapshot } = accepted.value;
  if (snapshot) dependencies.tableCache.applyIfNewer(snapshot);
  dependencies.onEdit();
  dependencies.metrics.recordDuration(
    "edit_accept",
    core.monotonicMs() - startedAtMs,
  );
  dependencies.logger.info("edit_accepted", {
    editId: edit.value.editId,
    operatorId,
    revision,
    changes: edit.value.changes.length,
  });
  return context.json({ revision });
}

async function respondWithHistory(
  context: GatewayContext,
  dependencies: GatewayDependencies,
): Promise<Response> {
  const requestedCount = Number(context.req.query("count") ?? 20);
  const countMax = Math.min(
    HISTORY_MAX,
    Math.max(1, Math.floor(requestedCount) || 1),
  );
  const history = await dependencies.tableStore.readHistory(countMax);
  if (history.isErr()) return problemResponse(context, history.error);
  return context.json({ edits: history.value });
}

function makeStatus(dependencies: GatewayDependencies): object {
  const { directory, admission, tableCache, fleet } = dependencies;
  const nowMs = core.monotonicMs();
  return {
    instanceId: directory.self.instanceId,
    incarnation: directory.self.incarnation,
    phase: admission.phase,
    ready: admission.isReady,
    inProgress: admission.inProgress,
    tableRevision: tableCache.snapshot.revision,
    entries: listEntries(dependencies),
    engines: fleet.engines.map((view) => ({
      upstreamId: view.upstreamId,
      leaving: view.isLeaving,
      reportAgeMs: view.load ? Math.round(nowMs - view.observedAtMs) : null,
      inProgress: view.inFlight,
      slots: view.load?.slots ?? 0,
      usedBytes: view.load?.usedBytes ?? 0,
      capacityBytes: view.load?.capacityBytes ?? 0,
      artifacts: view.load?.artifacts ?? [],
    })),
    gauges: dependencies.gauges(),
  };
}

/**
 * Registers the operator endpoints; each requires an operator's token.
 *
 * @example
 * ```ts
 * gateway.registerOperator(app, dependencies);
 * ```
 */
export function registerOperator(
  app: Hono<GatewayEnv>,
  dependencies: GatewayDependencies,
): void {
  const operators = makeOperatorTokens(dependencies.settings);
  const forOperators =
    (handler: OperatorHandler) => (context: GatewayContext) => {
      const header = context.req.header("authorization");
      const operatorId = operators.find(header);
      if (operatorId) return handler(context, operatorId);
      const failure = core.refuse(core.TOKEN_INVALID, "operators only");
      return problemResponse(context, failure);
    };
  app.get(
    "/v1/table",
    forOperators((context) =>
      context.body(
        table.encodeSnapshot(dependencies.tableCache.snapshot),
        200,
        {
          "content-type": "application/json",
        },
      )
    ),
  );
  app.post(
    "/v1/table/edits",
    forOperators((context, operatorId) =>
      acceptEdit(context, dependencies, operatorId)
    ),
  );
  app.get(
    "/v1/table/history",
    forOperators((context) => respondWithHistory(context, dependencies)),
  );
  app.get(
    "/v1/status",
    forOperators((context) => context.json(makeStatus(dependencies))),
  );
  app.get(
    "/v1/burn",
    forOperators((context) =>
      context.json({ lines: dependencies.burn.report() })
    ),
  );
}
