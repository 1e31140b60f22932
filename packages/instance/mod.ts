/** Entry instances as a library; the daemon is a thin shell around this. */
export { Instance } from "./instance.ts";
export type { InstanceAddresses, InstancePolicies } from "./instance.ts";
