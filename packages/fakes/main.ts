/** Runs one fake as a separate process: `main.js KIND PORT OPTIONS_JSON`. */
import process from "node:process";
import { FakeEngine, type FakeEngineOptions } from "./fake_engine.ts";
import {
  FakeInstanceList,
  FakeObjectStore,
  FakeWeightStore,
  type FakeWeightStoreOptions,
} from "./fake_platform.ts";
import type { FakeServer } from "./fake_server.ts";
import { FakeService, type FakeServiceOptions } from "./fake_service.ts";
import { FakeTableService } from "./fake_table_service.ts";

function makeFake(kind: string, options: unknown): FakeServer {
  switch (kind) {
    case "engine":
      return new FakeEngine(options as FakeEngineOptions);
    case "service":
      return new FakeService(options as FakeServiceOptions);
    case "table-service":
      return new FakeTableService();
    case "object-store":
      return new FakeObjectStore();
    case "instance-list":
      return new FakeInstanceList((options as { lagMs?: number }).lagMs ?? 0);
    case "weight-store":
      return new FakeWeightStore(options as FakeWeightStoreOptions);
    default:
      throw new Error(`No fake of kind ${kind}`);
  }
}

async function main(): Promise<void> {
  const [kind = "", port = "0", optionsText = "{}"] = process.argv.slice(2);
  const fake = makeFake(kind, JSON.parse(optionsText));
  await fake.start(Number(port));
  process.on("SIGTERM", () => process.exit(0));
  process.on("disconnect", () => process.exit(0));
  process.send?.({ origin: fake.origin });
  process.stdout.write(`${JSON.stringify({ origin: fake.origin })}\n`);
}

await main();
