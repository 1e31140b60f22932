/** Which upstreams may get a request, by what became of its earlier attempts. */
import * as core from "../core/mod.ts";
import type * as dispatch from "../dispatch/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type * as relay from "../relay/mod.ts";

/** Upstreams of a service that are left out of a selection. */
type Excluded = ReadonlySet<dispatch.UpstreamState>;

/** Names the upstreams to which a request is not sent. */
export class UpstreamCandidates {
  readonly #upstreams: dispatch.UpstreamRegistry;

  constructor(upstreams: dispatch.UpstreamRegistry) {
    this.#upstreams = upstreams;
  }

  /** Upstreams on which it failed, or that cannot continue its response. */
  exclude(
    service: core.ServiceName,
    { failed, softwareVersion, avoidsSuspects }: relay.AttemptHistory,
  ): Set<dispatch.UpstreamState> {
    const excluded = new Set<dispatch.UpstreamState>();
    const acceptsAll = failed.size === 0 && softwareVersion === undefined;
    if (acceptsAll && !avoidsSuspects) return excluded;
    const nowMs = core.monotonicMs();
    for (const upstream of this.#upstreams.ofService(service)) {
      const { record } = upstream;
      const isExcluded = failed.has(record.id) ||
        !isOfVersion(record, softwareVersion) ||
        (avoidsSuspects && upstream.isSuspect(nowMs));
      if (isExcluded) excluded.add(upstream);
    }
    return excluded;
  }

  /** The same for a request that has to go on without a wait. */
  excludeBusy(
    service: core.ServiceName,
    history: relay.AttemptHistory,
  ): Excluded {
    const excluded = this.exclude(service, history);
    const nowMs = core.monotonicMs();
    for (const upstream of this.#upstreams.ofService(service)) {
      const isFull = upstream.inFlight >= upstream.record.slots;
      if (isFull || upstream.health.isSilent(nowMs)) excluded.add(upstream);
    }
    return excluded;
  }

  /**
   * The same for engines. One on which the request failed may be the only one of
   * its software version that holds the model.
   */
  excludeEngines(
    { service, caller }: relay.RelayedRequest,
    model: core.ModelName,
    history: relay.AttemptHistory,
  ): Excluded {
    const excluded = this.exclude(service, history);
    const { softwareVersion, failed } = history;
    if (softwareVersion === undefined || failed.size === 0) return excluded;
    const nowMs = core.monotonicMs();
    const hasOther = [...this.#upstreams.ofService(service)]
      .some((engine) =>
        !excluded.has(engine) && !engine.isLeaving(nowMs) &&
        engine.canRun(model, caller.adapter, nowMs)
      );
    if (hasOther) return excluded;
    return this.exclude(service, { ...history, failed: new Set() });
  }

  /** When the first upstream that asks for no requests takes some again. */
  quietUntilMs(service: core.ServiceName): number | undefined {
    const nowMs = core.monotonicMs();
    const endsAtMs = [...this.#upstreams.ofService(service)]
      .filter(({ quiet }) => quiet.isActive(nowMs))
      .map(({ quiet }) => quiet.untilMs);
    return endsAtMs.length === 0 ? undefined : Math.min(...endsAtMs);
  }

  /**
   * Why no upstream can continue a stream that a software version began, however
   * long it waits; undefined if one may. Replicas are not placed by version, so
   * a model that other versions hold is not loaded for this one.
   */
  whyNotContinued(
    { service, caller }: relay.RelayedRequest,
    softwareVersion: core.SoftwareVersion,
  ): string | undefined {
    const { model } = caller;
    const nowMs = core.monotonicMs();
    const upstreams = [...this.#upstreams.ofService(service)]
      .filter((upstream) => !upstream.isLeaving(nowMs));
    const ofVersion = upstreams
      .filter(({ record }) => isOfVersion(record, softwareVersion));
    if (ofVersion.length === 0) {
      return `no upstream of software version ${softwareVersion}`;
    }
    if (model === undefined) return undefined;
    const holdsModel = ({ replicas }: dispatch.UpstreamState) =>
      replicas.has(model);
    return upstreams.some(holdsModel) && !ofVersion.some(holdsModel)
      ? `no engine of software version ${softwareVersion} holds the model`
      : undefined;
  }
}

function isOfVersion(
  record: fleet.UpstreamRecord,
  softwareVersion: core.SoftwareVersion | undefined,
): boolean {
  return softwareVersion === undefined ||
    record.softwareVersion === softwareVersion;
}
