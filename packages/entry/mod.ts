/** An entry node: receives callers' requests and relays them to upstreams. */
export { EntryNode } from "./entry_node.ts";
export type { EntryDependencies } from "./entry_node.ts";
