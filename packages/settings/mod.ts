/** Settings of an entry instance: JSON with comments, validated as a whole. */
export { checkSettings, renderFault } from "./settings_check.ts";
export type { SettingsFault } from "./settings_check.ts";
export type {
  CallerSettings,
  OperatorSettings,
  PlacementPolicyName,
  RoutingPolicyName,
  ServiceSettings,
  Settings,
} from "./settings_types.ts";
