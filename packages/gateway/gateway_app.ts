/** The HTTP face of an instance: paths registered onto one application. */
import { Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import * as core from "../core/mod.ts";
import { registerCompletions } from "./gateway_completions.ts";
import { registerEntries } from "./gateway_entries.ts";
import { registerOperator } from "./gateway_operator.ts";
import { problem } from "./gateway_request.ts";
import { registerServices } from "./gateway_services.ts";
import type { GatewayDependencies, GatewayEnv } from "./gateway_types.ts";

/**
 * Makes the application with every path.
 *
 * @example
 * ```ts
 * const app = gateway.makeApp(parts);
 * serve({ fetch: app.fetch, port: 8080 });
 * ```
 */
export function makeApp(parts: GatewayDependencies): Hono<GatewayEnv> {
  const app = new Hono<GatewayEnv>();
  const { bodyMaxBytes } = parts.settings.limits;
  app.use(
    "*",
    bodyLimit({
      maxSize: bodyMaxBytes,
      onError: (context) =>
        problem(
          context,
          core.refuse(
            core.BODY_TOO_LARGE,
            `the body may have ${bodyMaxBytes} bytes`,
          ),
        ),
    }),
  );
  app.use("*", async (context, next) => {
    await next();
    if (parts.admission.phase === "serving") return;
    context.header("connection", "close");
  });
  registerEntries(app, parts);
  registerCompletions(app, parts);
  registerServices(app, parts);
  registerOperator(app, parts);
  app.notFound((context) =>
    problem(
      context,
      core.refuse(
        core.ROUTE_UNKNOWN,
        `${context.req.method} ${context.req.path}`,
      ),
    )
  );
  app.onError((thrown, context) => {
    const detail = core.messageOf(thrown);
    parts.logger.error("request_threw", { path: context.req.path, detail });
    return problem(context, core.fail(core.INTERNAL, detail, "unknown"));
  });
  return app;
}
