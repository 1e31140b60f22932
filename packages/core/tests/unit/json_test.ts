import test from "ava";
import * as core from "../../mod.ts";

const nested = (levels: number) => "[".repeat(levels) + "]".repeat(levels);

test("values of up to 100 levels are parsed, and no deeper ones", (t) => {
  t.deepEqual(core.parseJson(`{"a":[1,null,"x"]}`), { a: [1, null, "x"] });
  t.notThrows(() => core.parseJson(nested(100)));
  t.throws(() => core.parseJson(nested(101)), { message: /nested deeper/ });
  t.throws(() => core.parseJson(`{"a":${nested(200_000)}}`), {
    message: /nested deeper/,
  });
  t.throws(() => core.parseJson("[1"), { instanceOf: SyntaxError });
});
