/** Keys are found by digest, and are not used with an outdated configuration. */
import test from "ava";
import fc from "fast-check";
import * as core from "../../../core/mod.ts";
import type * as fleet from "../../../fleet/mod.ts";
import * as teams from "../../mod.ts";

const RUNS = { seed: Number(process.env["SEED"] ?? 20261206) };

function team(name: string, ...keys: string[]): fleet.TeamSpec {
  return {
    name: core.brandId<core.TeamName>(name),
    keyDigests: keys.map(teams.digestKey),
  };
}

// Guards against requests under the key of one team that run for another.
test("each key leads to its team, however many teams there are", (t) => {
  const specs = Array.from(
    { length: 400 },
    (_, n) => team(`team-${n}`, `key-${n}-a`, `key-${n}-b`),
  );
  const directory = new teams.TeamDirectory(specs);
  t.is(directory.size, 400);
  for (const [n, spec] of specs.entries()) {
    for (const key of [`key-${n}-a`, `key-${n}-b`]) {
      t.is(directory.findByKey(teams.digestKey(key)), spec);
    }
  }
  t.is(directory.findByKey(teams.digestKey("key-0-c")), undefined);
});

test("a key that two teams name stays with the first, and is reported", (t) => {
  const first = team("first", "same", "same");
  const second = team("second", "same", "own");
  const directory = new teams.TeamDirectory([first, second]);
  t.is(directory.findByKey(teams.digestKey("same")), first);
  t.is(directory.findByKey(teams.digestKey("own")), second);
  t.deepEqual(directory.conflicting, [second.name]);
});

test("only a bearer token names a key, and its text is not kept", (t) => {
  const key = "k7b2ex5wa5xwyhks8nbk";
  const digest = teams.digestKey(key);
  for (const header of [`Bearer ${key}`, `bearer  ${key} `]) {
    t.is(teams.readBearerKey(header), digest);
  }
  const others = [
    undefined,
    "",
    key,
    "Bearer",
    "Bearer ",
    `Basic ${key}`,
    `Bearer ${key} x`,
  ];
  for (const header of others) t.is(teams.readBearerKey(header), undefined);
  t.false(digest.includes(key));
});

test("no header makes the reader of keys throw", (t) => {
  const run = fc.property(fc.string(), (text) => {
    const digest = teams.readBearerKey(text);
    return digest === undefined || digest.length === 43;
  });
  t.notThrows(() => fc.assert(run, RUNS));
});

// Guards against a request that was sent later than the bound after a removal
// that the node has not heard of.
test("a node answers under no key that may have been removed for longer than the bound", (t) => {
  const times = fc.record({
    revocationMs: fc.integer({ min: 1_000, max: 20_000 }),
    asOfMs: fc.integer({ min: 0, max: 60_000 }),
    removedAfterMs: fc.integer({ min: 1, max: 10_000 }),
    nowAfterMs: fc.integer({ min: 0, max: 60_000 }),
  });
  const run = fc.property(times, (each) => {
    const { revocationMs, asOfMs, removedAfterMs, nowAfterMs } = each;
    const nowMs = asOfMs + nowAfterMs;
    const isTooLate = nowMs > asOfMs + removedAfterMs + revocationMs;
    return !(isTooLate && teams.isTrusted(asOfMs, nowMs, revocationMs));
  });
  t.notThrows(() => fc.assert(run, { ...RUNS, numRuns: 5_000 }));
  t.true(teams.isTrusted(-Infinity, 0, undefined));
  t.false(teams.isTrusted(-Infinity, 0, 5_000));
});
