/**
 * Key of what a request runs on: a model, or an adapter of it. Queues, backoffs
 * and demand are kept by it.
 *
 * @param adapter undefined or empty if the model itself is asked for.
 * @example
 * ```ts
 * dispatch.toModelKey(model, "formal"); // "llama/formal"
 * ```
 */
export function toModelKey(
  model: string,
  adapter: string | undefined,
): string {
  return adapter ? `${model}/${adapter}` : model;
}
