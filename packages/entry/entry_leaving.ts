/** Tells other nodes which upstreams say that they are leaving. */
import { create } from "@bufbuild/protobuf";
import * as core from "../core/mod.ts";
import type * as dispatch from "../dispatch/mod.ts";
import * as peers from "../peers/mod.ts";

/** Returns those that have said so to any node lately. */
export function leavingNews(
  { leaving }: dispatch.UpstreamRegistry,
  nowMs: number,
): peers.LeavingUpstream[] {
  return leaving.recent(nowMs).map(({ id, startedAtMs, ageMs }) =>
    create(peers.LeavingUpstreamSchema, {
      upstreamId: id,
      bornMs: startedAtMs,
      ageMs: Math.max(0, Math.round(ageMs)),
    })
  );
}

/** Applies what another node has sent. */
export function applyLeavingNews(
  { leaving }: dispatch.UpstreamRegistry,
  news: readonly peers.LeavingUpstream[],
  nowMs: number,
): void {
  for (const { upstreamId, bornMs, ageMs } of news) {
    const id = core.brandId<core.UpstreamId>(upstreamId);
    leaving.record({ id, startedAtMs: bornMs }, ageMs, nowMs);
  }
}
