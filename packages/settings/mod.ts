/** Settings: JSON with comments, checked as a whole. */
export { checkSettings, renderFault } from "./settings_check.ts";
export type { SettingsFault } from "./settings_check.ts";
export type {
  CallerSettings,
  OperatorSettings,
  ServiceSettings,
  Settings,
} from "./settings_types.ts";
