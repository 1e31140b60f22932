/** Benchmarks: `npm run bench -- NAME`; without a name, all of them. */
import { mkdir, writeFile } from "node:fs/promises";
import process from "node:process";
import {
  measureSlope,
  renderSlope,
  SLOPE_HEADER,
  SYSTEM_SIZES,
} from "./bench_slopes.ts";
import {
  measurePolicies,
  POLICY_HEADER,
  POLICY_PAIRS,
  type PolicyResult,
  renderPolicy,
} from "./bench_policies.ts";
import { measureClaims, renderClaims } from "./bench_claims.ts";
import { measurePath, renderPath } from "./bench_path.ts";
import { plotPolicies } from "./bench_plot.ts";
import { DEPLOYMENTS } from "./bench_scenario.ts";

/** Results lie beside the page that explains them. */
const RESULTS = "docs/bench";

async function save(name: string, result: unknown): Promise<void> {
  await mkdir(RESULTS, { recursive: true });
  const text = JSON.stringify(result, null, 2);
  await writeFile(`${RESULTS}/${name}.json`, `${text}\n`);
}

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function slopes(): Promise<void> {
  say(SLOPE_HEADER);
  const results = [];
  const points = process.env.BENCH_QUICK
    ? SYSTEM_SIZES.slice(1, 2)
    : SYSTEM_SIZES;
  for (const point of points) {
    const result = await measureSlope(point);
    say(renderSlope(result));
    results.push(result);
  }
  await save("slopes", results);
}

async function policies(): Promise<void> {
  say(POLICY_HEADER);
  const results: PolicyResult[] = [];
  const seeds = (process.env.SEEDS ?? "1,2,3").split(",").map(Number);
  const wanted = process.env.BENCH_DEPLOYMENT;
  for (const deployment of DEPLOYMENTS) {
    if (wanted !== undefined && deployment.name !== wanted) continue;
    for (const pair of POLICY_PAIRS) {
      for (const seed of seeds) {
        const result = await measurePolicies(deployment, pair, seed);
        say(renderPolicy(result));
        results.push(result);
      }
    }
  }
  await save("policies", results);
  await writeFile(`${RESULTS}/policies.svg`, plotPolicies(results));
}

async function path(): Promise<void> {
  const result = await measurePath();
  say(renderPath(result));
  await save("path", result);
}

async function claims(): Promise<void> {
  const results = await measureClaims();
  say(renderClaims(results));
  await save("claims", results);
}

const BENCHES: Readonly<Record<string, () => Promise<void>>> = {
  path,
  claims,
  slopes,
  policies,
};

const asked = process.argv.slice(2);
for (const name of asked.length > 0 ? asked : Object.keys(BENCHES)) {
  const bench = BENCHES[name];
  if (!bench) {
    say(`no benchmark ${name}; there are: ${Object.keys(BENCHES).join(" ")}`);
    process.exit(2);
  }
  say(`== ${name}`);
  await bench();
}
