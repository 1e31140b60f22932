/** Shares the turns of the event loop among connections, by measured time. */
export { shareReads, waitingBytes } from "./turns_reader.ts";
export type { ReadOptions } from "./turns_reader.ts";
export { processTurns, ReadTurns, TurnReader } from "./turns_queue.ts";
