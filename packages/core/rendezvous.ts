/**
 * Rendezvous hashing: instances with the same member list choose the same owner
 * of a key without coordination.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Computes a 32-bit hash of a text (FNV-1a with a final mix).
 *
 * @example
 * ```ts
 * const bucket = core.hash32(prefix) % buckets;
 * ```
 */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Orders the candidates by their hash weight for a key; the first is the owner.
 *
 * @example
 * ```ts
 * const [owner, second] = core.rendezvous("row/llama", liveInstanceIds);
 * ```
 */
export function rendezvous<Id extends string>(
  key: string,
  candidates: Iterable<Id>,
): Id[] {
  const weighted = [...candidates].map((id) => ({
    id,
    weight: hash32(`${key}|${id}`),
  }));
  weighted.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1));
  return weighted.map((candidate) => candidate.id);
}
