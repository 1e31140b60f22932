/** Assembles the HTTP application of an instance from its route handlers. */
import { Hono } from "hono";
import * as core from "../core/mod.ts";
import { readBodies } from "./gateway_body.ts";
import { registerCompletions } from "./gateway_completions.ts";
import { registerEntries } from "./gateway_entries.ts";
import { registerOperator } from "./gateway_operator.ts";
import { closeIfLeaving, problemResponse } from "./gateway_request.ts";
import { registerServices } from "./gateway_services.ts";
import type { GatewayDependencies, GatewayEnv } from "./gateway_types.ts";

/**
 * Makes the application with all routes. Responses close the connection once
 * the instance is leaving, so that callers reconnect elsewhere.
 *
 * @example
 * ```ts
 * const app = gateway.makeApp(dependencies);
 * serve({ fetch: app.fetch, port: 8080 });
 * ```
 */
export function makeApp(dependencies: GatewayDependencies): Hono<GatewayEnv> {
  const app = new Hono<GatewayEnv>();
  app.use("*", readBodies(dependencies));
  app.use("*", async (context, next) => {
    await next();
    closeIfLeaving(context, dependencies.admission);
  });
  registerEntries(app, dependencies);
  registerCompletions(app, dependencies);
  registerServices(app, dependencies);
  registerOperator(app, dependencies);
  app.notFound((context) =>
    problemResponse(
      context,
      core.refuse(
        core.ROUTE_UNKNOWN,
        `${context.req.method} ${context.req.path}`,
      ),
    )
  );
  app.onError((thrown, context) => {
    const detail = core.messageOf(thrown);
    dependencies.logger.error("request_threw", {
      path: context.req.path,
      detail,
    });
    return problemResponse(
      context,
      core.fail(core.INTERNAL, detail, "unknown"),
    );
  });
  return app;
}
