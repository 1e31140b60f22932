/** Runs benchmarks: `npm run bench -- NAME...`; without a name, all of them. */
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

/** Results are written next to the page that explains them. */
const RESULTS_DIR = "docs/bench";

async function saveResult(name: string, result: unknown): Promise<void> {
  await mkdir(RESULTS_DIR, { recursive: true });
  const text = JSON.stringify(result, null, 2);
  await writeFile(`${RESULTS_DIR}/${name}.json`, `${text}\n`);
}

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function runSlopes(): Promise<void> {
  printLine(SLOPE_HEADER);
  const results = [];
  const sizes = process.env.BENCH_QUICK
    ? SYSTEM_SIZES.slice(1, 2)
    : SYSTEM_SIZES;
  for (const size of sizes) {
    const result = await measureSlope(size);
    printLine(renderSlope(result));
    results.push(result);
  }
  await saveResult("slopes", results);
}

async function runPolicies(): Promise<void> {
  printLine(POLICY_HEADER);
  const results: PolicyResult[] = [];
  const seeds = (process.env.SEEDS ?? "1,2,3").split(",").map(Number);
  const deploymentName = process.env.BENCH_DEPLOYMENT;
  for (const deployment of DEPLOYMENTS) {
    if (deploymentName !== undefined && deployment.name !== deploymentName) {
      continue;
    }
    for (const pair of POLICY_PAIRS) {
      for (const seed of seeds) {
        const result = await measurePolicies(deployment, pair, seed);
        printLine(renderPolicy(result));
        results.push(result);
      }
    }
  }
  await saveResult("policies", results);
  await writeFile(`${RESULTS_DIR}/policies.svg`, plotPolicies(results));
}

async function runPath(): Promise<void> {
  const result = await measurePath();
  printLine(renderPath(result));
  await saveResult("path", result);
}

async function runClaims(): Promise<void> {
  const results = await measureClaims();
  printLine(renderClaims(results));
  await saveResult("claims", results);
}

const BENCHMARKS: Readonly<Record<string, () => Promise<void>>> = {
  path: runPath,
  claims: runClaims,
  slopes: runSlopes,
  policies: runPolicies,
};

const names = process.argv.slice(2);
for (const name of names.length > 0 ? names : Object.keys(BENCHMARKS)) {
  const runBenchmark = BENCHMARKS[name];
  if (!runBenchmark) {
    printLine(
      `unknown benchmark ${name}; available: ${
        Object.keys(BENCHMARKS).join(" ")
      }`,
    );
    process.exit(2);
  }
  printLine(`== ${name}`);
  await runBenchmark();
}
