/** Callers abandon a stream without an event after this, or later. */
export const STREAM_PATIENCE_MIN_MS = 2_000;
