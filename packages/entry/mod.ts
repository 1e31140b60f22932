/** One entry node: parts, tasks, listeners and the planned stop. */
export { EntryNode } from "./entry_node.ts";
export type { EntryDependencies } from "./entry_node.ts";
