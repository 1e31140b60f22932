/** Deterministic completion texts, so that callers can verify responses. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

function hashText(text: string): string {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  return (hash >>> 0).toString(36);
}

/**
 * One token of the completion of a prompt.
 *
 * @example
 * ```ts
 * fakes.expectedToken("llama@1", "hello", 0);
 * ```
 */
export function expectedToken(
  artifactId: string,
  promptText: string,
  index: number,
): string {
  return `${hashText(`${artifactId}|${promptText}|${index}`)} `;
}

/**
 * The full completion of a prompt.
 *
 * @example
 * ```ts
 * fakes.expectedCompletion("llama@1", "hello", 8);
 * ```
 */
export function expectedCompletion(
  artifactId: string,
  promptText: string,
  count: number,
): string {
  const indexes = Array.from({ length: count }, (_, index) => index);
  return indexes
    .map((index) => expectedToken(artifactId, promptText, index))
    .join("");
}
