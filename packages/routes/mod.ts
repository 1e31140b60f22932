/** Routes: which service a request goes to, and how it is treated. */
export { pickTarget, RouteTable } from "./routes_table.ts";
