import test from "ava";
import { readFile } from "node:fs/promises";
import * as core from "../../mod.ts";

test("result codes have unique numbers and names", (t) => {
  const codes = core.RESULT_CODES.map(({ code }) => code);
  const names = core.RESULT_CODES.map(({ name }) => name);
  t.is(new Set(codes).size, codes.length);
  t.is(new Set(names).size, names.length);
});

test("docs/RESULT-CODES.md lists every result code", async (t) => {
  const text = await readFile("docs/RESULT-CODES.md", "utf8");
  const page = text.replaceAll(/ +/g, " ");
  for (const { code, name, httpStatus, meaning } of core.RESULT_CODES) {
    const line = `| ${code} | ${name} | ${httpStatus} | ${meaning} |`;
    t.true(page.includes(line), line);
  }
});

test("events are rendered as key=value pairs without undefined fields", (t) => {
  const line = core.renderEvent("edit_accepted", {
    revision: 7,
    detail: 'says "no" now',
    absent: undefined,
  });
  t.is(line, 'event=edit_accepted revision=7 detail="says \\"no\\" now"');
});

test("cleanups run once, in reverse order, even if one throws", async (t) => {
  const order: number[] = [];
  const lifecycle = new core.Lifecycle();
  lifecycle.addCleanup(() => void order.push(1));
  lifecycle.addCleanup(() => {
    throw new Error("second");
  });
  lifecycle.addCleanup(() => void order.push(3));
  await t.throwsAsync(lifecycle.close(), { instanceOf: AggregateError });
  await t.throwsAsync(lifecycle.close());
  t.deepEqual(order, [3, 1]);
});

test("rendezvous hashing moves only the keys of the removed owner", (t) => {
  const ids = ["a", "b", "c", "d"];
  for (let key = 0; key < 200; key++) {
    const [owner] = core.rendezvous<string>(`row/${key}`, ids);
    const [next] = core.rendezvous<string>(`row/${key}`, ["a", "b", "c"]);
    if (owner !== "d") t.is(next, owner);
  }
});
