/** What operators may ask and change. */
import type { Hono } from "hono";
import * as core from "../core/mod.ts";
import * as table from "../table/mod.ts";
import { listEntries } from "./gateway_entries.ts";
import { operatorTokens, problem } from "./gateway_request.ts";
import type {
  GatewayContext,
  GatewayDependencies,
  GatewayEnv,
} from "./gateway_types.ts";

const HISTORY_MAX = 100;

type OperatorAnswer = (
  context: GatewayContext,
  operatorId: core.OperatorId,
) => Response | Promise<Response>;

async function acceptEdit(
  context: GatewayContext,
  parts: GatewayDependencies,
  operatorId: core.OperatorId,
): Promise<Response> {
  const startedAtMs = core.monotonicMs();
  const edit = table.decodeEdit(await context.req.text(), operatorId);
  if (edit.isErr()) {
    return problem(context, core.refuse(core.EDIT_INVALID, edit.error));
  }
  const floor = parts.keeper.snapshot.revision;
  const accepted = await parts.tableStore.accept(edit.value, floor);
  if (accepted.isErr()) {
    parts.logger.warn("edit_refused", {
      editId: edit.value.editId,
      operatorId,
      code: accepted.error.result.code,
      detail: accepted.error.detail,
    });
    return problem(context, accepted.error);
  }
  const { revision, snapshot } = accepted.value;
  if (snapshot) parts.keeper.offer(snapshot);
  parts.onEdit();
  parts.metrics.time("edit_accept", core.monotonicMs() - startedAtMs);
  parts.logger.info("edit_accepted", {
    editId: edit.value.editId,
    operatorId,
    revision,
    changes: edit.value.changes.length,
  });
  return context.json({ revision });
}

async function showHistory(
  context: GatewayContext,
  parts: GatewayDependencies,
): Promise<Response> {
  const asked = Number(context.req.query("count") ?? 20);
  const countMax = Math.min(HISTORY_MAX, Math.max(1, Math.floor(asked) || 1));
  const history = await parts.tableStore.readHistory(countMax);
  if (history.isErr()) return problem(context, history.error);
  return context.json({ edits: history.value });
}

function showStatus(parts: GatewayDependencies): object {
  const { directory, admission, keeper, fleet } = parts;
  const nowMs = core.monotonicMs();
  return {
    instanceId: directory.self.instanceId,
    incarnation: directory.self.incarnation,
    phase: admission.phase,
    ready: admission.isReady,
    inProgress: admission.inProgress,
    tableRevision: keeper.snapshot.revision,
    entries: listEntries(parts),
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
    gauges: parts.gauges(),
  };
}

/**
 * Registers the operators' paths.
 *
 * @example
 * ```ts
 * gateway.registerOperator(app, parts);
 * ```
 */
export function registerOperator(
  app: Hono<GatewayEnv>,
  parts: GatewayDependencies,
): void {
  const operators = operatorTokens(parts.settings);
  const guarded = (answer: OperatorAnswer) => (context: GatewayContext) => {
    const header = context.req.header("authorization");
    const operatorId = operators.find(header);
    if (operatorId) return answer(context, operatorId);
    const failure = core.refuse(core.TOKEN_INVALID, "operators only");
    return problem(context, failure);
  };
  app.get(
    "/v1/table",
    guarded((context) =>
      context.body(table.encodeSnapshot(parts.keeper.snapshot), 200, {
        "content-type": "application/json",
      })
    ),
  );
  app.post(
    "/v1/table/edits",
    guarded((context, operatorId) => acceptEdit(context, parts, operatorId)),
  );
  app.get(
    "/v1/table/history",
    guarded((context) => showHistory(context, parts)),
  );
  app.get(
    "/v1/status",
    guarded((context) => context.json(showStatus(parts))),
  );
  app.get(
    "/v1/burn",
    guarded((context) => context.json({ lines: parts.burn.report() })),
  );
}
