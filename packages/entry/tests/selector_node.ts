/** Nodes that know some engines, and requests for their model. */
import { Buffer } from "node:buffer";
import * as core from "../../core/mod.ts";
import type * as fleet from "../../fleet/mod.ts";
import type * as relay from "../../relay/mod.ts";
import * as testing from "../../testing/mod.ts";
import { EntryUpstreamSelector } from "../entry_selector.ts";
import { EntryState } from "../entry_state.ts";
import { makeEntrySettings } from "./entry_settings.ts";

export const SERVICE = core.brandId<core.ServiceName>("s");
export const MODEL = core.brandId<core.ModelName>("m");
export const SLOTS = 1;
export const TIMEOUT_MS = 30_000;
export const never = new AbortController().signal;

export function makeConfig(
  version: number,
  services: readonly core.ServiceName[],
  slots = SLOTS,
): fleet.FleetConfig {
  return {
    version,
    routes: [],
    services: new Map(services.map((name) => [name, {
      name,
      connectionsMax: 10,
      engine: {
        slots,
        kvCacheTokens: 100_000,
        tokensPerEvent: 1,
        weightMemoryMb: 1,
        adapterSlots: 1,
        loadsPerS: 1,
        models: new Map(),
      },
    }])),
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
    bodyBytesMax: 1_000,
  };
}

export function version(name: string): core.SoftwareVersion {
  return core.brandId<core.SoftwareVersion>(name);
}

/** A node that knows some engines, by default with place for one request. */
export function makeNode(
  engines: readonly string[],
  versions: readonly string[] = [],
  slots = SLOTS,
) {
  const state = new EntryState(
    makeEntrySettings("n1"),
    new core.Logger({}, () => {}),
  );
  state.applyConfig(makeConfig(1, [SERVICE], slots));
  for (const [n, id] of engines.entries()) {
    state.setUpstream(testing.makeUpstreamRecord({
      id: core.brandId<core.UpstreamId>(id),
      service: SERVICE,
      softwareVersion: version(versions[n] ?? "v1"),
      address: `127.0.0.1:${1_000 + state.upstreams.listings}`,
      slots,
      models: [{ model: MODEL, adapters: [] }],
    }));
  }
  return { state, selector: new EntryUpstreamSelector(state) };
}

/** @param ageMs time since the request was received. */
export function makeRequest(id: string, ageMs = 0): relay.RelayedRequest {
  const receivedAtMs = core.monotonicMs() - ageMs;
  return {
    caller: {
      requestId: core.brandId<core.RequestId>(id),
      model: MODEL,
      promptTokens: 10,
      outputTokensMax: 10,
      promptParts: [],
      forwardedHeaders: {},
    },
    route: {
      name: "r",
      host: "h",
      pathPrefix: "/",
      kind: "stream",
      timeoutMs: TIMEOUT_MS,
      latencyTargetMs: 600,
      eventGapTargetMs: 300,
      priority: 0,
      targets: [],
      attemptsMax: 2,
      isResumable: true,
    },
    service: SERVICE,
    method: "POST",
    path: "/",
    body: Buffer.alloc(0),
    receivedAtMs,
    deadlineAtMs: receivedAtMs + TIMEOUT_MS,
  };
}

export function history(
  hasStarted: boolean,
  failed: readonly string[] = [],
): relay.AttemptHistory {
  return {
    hasStarted,
    avoidsSuspects: false,
    failed: new Set(failed.map((id) => core.brandId<core.UpstreamId>(id))),
  };
}
