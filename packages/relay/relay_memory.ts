/** Memory for responses that are buffered until they can be passed on. */
import * as core from "../core/mod.ts";

const RESPONSE_BYTES_MAX = 64 * 1024 * 1024;

/** Shared by all requests, as they share the process's memory. */
export const responseMemory = new core.MemoryBudget(RESPONSE_BYTES_MAX);
