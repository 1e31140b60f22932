import * as mirror from "../../mirror/mod.ts";

/** Ignores the rows of a table. */
export class NoListener extends mirror.TableListener {
  override applySnapshot(): void {}
  override applyChange(): void {}
}
