/** Signals that arrive before the program that handles them is loaded. */
export { HeldSignals, holdSignals } from "./signals_hold.ts";
export type { Cleanup, SignalName } from "./signals_hold.ts";
