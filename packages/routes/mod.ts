/** Route table: maps requests to routes, and routes to services. */
export { pickTarget, RouteTable } from "./routes_table.ts";
