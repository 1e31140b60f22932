/** Entry instances as a library; the daemon is a thin wrapper around it. */
export { Instance } from "./instance.ts";
export type { InstanceAddresses, InstancePolicies } from "./instance.ts";
