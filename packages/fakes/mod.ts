/** Fakes of the platform services and the upstreams, with fault injection. */
export { expectedCompletion, expectedToken } from "./fake_completions.ts";
export { FakeEngine } from "./fake_engine.ts";
export type { FakeEngineOptions } from "./fake_engine.ts";
export { FakeLink } from "./fake_link.ts";
export type { LinkMode } from "./fake_link.ts";
export { FakeServer } from "./fake_server.ts";
export {
  FakeInstanceList,
  FakeObjectStore,
  FakeWeightStore,
} from "./fake_platform.ts";
export type {
  FakeListedInstance,
  FakeWeightStoreOptions,
} from "./fake_platform.ts";
export { FakeService } from "./fake_service.ts";
export type { FakeServiceOptions } from "./fake_service.ts";
export { FakeTableService } from "./fake_table_service.ts";
export type { Fault } from "./fake_faults.ts";
