import test from "ava";
import * as core from "../../mod.ts";

// Guards against a caller that repeats an order which has run, as it was told by
// the status that it had not.
for (const ran of ["yes", "unknown"] as const) {
  test(`no status promises "not run" if ran is ${ran}`, (t) => {
    for (const result of core.RESULT_CODES) {
      const failure = core.fail(result, "x", ran);
      const status = core.toProblem(failure).status;
      t.false([408, 421, 429, 503].includes(status), result.name);
    }
  });
}

test("a failure that has not run keeps the status of its result code", (t) => {
  for (const result of core.RESULT_CODES) {
    t.is(core.toProblem(core.refuse(result, "x")).status, result.httpStatus);
  }
});
