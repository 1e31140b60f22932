/** The teams of one configuration, by their keys. */
import type * as core from "../core/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import { KeyDirectory } from "./teams_keys.ts";

/** Finds teams by key. */
export class TeamDirectory {
  readonly #keys = new KeyDirectory<fleet.TeamSpec>();
  readonly #byName: ReadonlyMap<core.TeamName, fleet.TeamSpec>;
  /** Teams with a key that another team holds already. */
  readonly conflicting: readonly core.TeamName[];

  constructor(specs: readonly fleet.TeamSpec[]) {
    this.#byName = new Map(specs.map((team) => [team.name, team]));
    const conflicting = new Set<core.TeamName>();
    for (const team of specs) {
      for (const digest of new Set(team.keyDigests)) {
        if (!this.#keys.add(digest, team)) conflicting.add(team.name);
      }
    }
    this.conflicting = [...conflicting];
  }

  get size(): number {
    return this.#byName.size;
  }

  /**
   * Returns the team that holds a key.
   *
   * @example
   * ```ts
   * const team = directory.findByKey(teams.digestKey(key));
   * ```
   */
  findByKey(digest: core.KeyDigest): fleet.TeamSpec | undefined {
    return this.#keys.find(digest);
  }

  get(name: core.TeamName): fleet.TeamSpec | undefined {
    return this.#byName.get(name);
  }
}
