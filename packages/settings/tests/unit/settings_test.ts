import test from "ava";
import { readFile } from "node:fs/promises";
import * as settings from "../../mod.ts";

const example = await readFile("docs/entry.example.jsonc", "utf8");

function faultsOf(text: string): string[] {
  return settings.checkSettings(text).match(
    () => [],
    (faults) => faults.map(settings.renderFault),
  );
}

test("the example is valid, and omitted fields get defaults", (t) => {
  const checked = settings.checkSettings(example)._unsafeUnwrap();
  t.is(checked.instanceId, "entry-1");
  t.is(checked.peers.exchangeIntervalMs, 1_000);
  t.is(checked.engines.honourFencing, false);
  t.is(checked.policies.routing, "estimated");
  t.is(checked.services[0]?.callMaxMs, 30_000);
});

interface FaultCase {
  readonly name: string;
  readonly from: string;
  readonly to: string;
  readonly fault: RegExp;
}

const cases: FaultCase[] = [
  {
    name: "an unknown field",
    from: '"failureDomain"',
    to: '"colour": 1, "failureDomain"',
    fault: /^4:3 colour: is not a known field$/,
  },
  {
    name: "a wrong unit",
    from: '"timeoutMs": 1000',
    to: '"timeoutSeconds": 1',
    fault: /platform\.timeoutSeconds: has the wrong unit.*timeoutMs/,
  },
  {
    name: "a host name instead of an IP address",
    from: '"host": "127.0.0.1"',
    to: '"host": "localhost"',
    fault: /^6:13 listen\.host: must be an IP number$/,
  },
  {
    name: "a port out of range",
    from: '"callerPort": 8080',
    to: '"callerPort": 80800',
    fault: /listen\.callerPort: must be a whole number from 0 to 65535/,
  },
  {
    name: "the same port for callers and peers",
    from: '"peerPort": 8081',
    to: '"peerPort": 8080',
    fault: /listen\.peerPort: must differ/,
  },
  {
    name: "a missing field",
    from: '"peerPort": 8081,',
    to: "",
    fault: /^5:13 listen\.peerPort: is missing$/,
  },
  {
    name: "a field given twice",
    from: '"peerPort": 8081',
    to: '"peerPort": 8081, "peerPort": 8082',
    fault: /listen\.peerPort: is given twice/,
  },
  {
    name: "a short token",
    from: "replace-this-caller-token",
    to: "short",
    fault: /callers\[0\]\.token: must be a token/,
  },
  {
    name: "two equal tokens",
    from: "replace-this-caller-token",
    to: "replace-this-operator-token",
    fault: /two tokens are the same/,
  },
  {
    name: "an unknown policy",
    from: '"engines": {',
    to: '"policies": {"routing": "luck"}, "engines": {',
    fault: /policies\.routing: must be one of estimated/,
  },
  {
    name: "an engine timeout too short for a change of watcher",
    from: '"honourFencing": false',
    to: '"honourFencing": false, "silentAfterMs": 2000',
    fault: /engines\.silentAfterMs: must be at least/,
  },
  { name: "broken JSON", from: '"listen": {', to: '"listen" {', fault: /^5:/ },
];

for (const { name, from, to, fault } of cases) {
  test(`rejects ${name}`, (t) => {
    t.true(example.includes(from));
    const faults = faultsOf(example.replace(from, to));
    t.true(faults.some((line) => fault.test(line)), faults.join("\n"));
  });
}

test("all faults are reported at once", (t) => {
  const faults = faultsOf('{ "instanceId": "", "x": 1 }');
  t.true(faults.length >= 5, faults.join("\n"));
});
