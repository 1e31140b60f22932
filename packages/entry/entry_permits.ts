/**
 * Permits for rate-limited upstreams: one live node issues those for an upstream
 * to all nodes.
 */
import { create } from "@bufbuild/protobuf";
import * as core from "../core/mod.ts";
import * as peers from "../peers/mod.ts";
import * as rates from "../rates/mod.ts";
import type { EntryState } from "./entry_state.ts";

/** Sends a request for permits; undefined if the node did not answer. */
export type SendPermitRequest = (
  address: string,
  request: peers.PermitRequest,
) => Promise<peers.PermitReply | undefined>;

/** Issues permits to other nodes, and gets those that this node needs. */
export class EntryPermits extends rates.PermitSource {
  readonly #state: EntryState;
  readonly #send: SendPermitRequest;
  readonly #issuer = new rates.PermitIssuer();

  /** @param send by default no other node is asked. */
  constructor(
    state: EntryState,
    send: SendPermitRequest = () => Promise.resolve(undefined),
  ) {
    super();
    this.#state = state;
    this.#send = send;
  }

  override async request(
    statement: rates.RateStatement,
    count: number,
  ): Promise<rates.PermitReply | undefined> {
    const { members, settings } = this.#state;
    const issuer = this.#findIssuer(statement);
    const request = create(peers.PermitRequestSchema, {
      node: settings.nodeName,
      limit: toMessage(statement),
      count,
    });
    if (issuer === settings.nodeName) return readReply(this.issue(request));
    const address = members.row(issuer)?.peerAddress;
    if (address === undefined) return undefined;
    const reply = await this.#send(address, request);
    if (reply?.limit) {
      applyRateNews(this.#state, [reply.limit], core.monotonicMs());
    }
    return reply && readReply(reply);
  }

  /** Answers a node that asks for permits. */
  issue({ node, limit, count }: peers.PermitRequest): peers.PermitReply {
    if (!limit) return create(peers.PermitReplySchema);
    const nowMs = core.monotonicMs();
    applyRateNews(this.#state, [limit], nowMs);
    const { namedRates } = this.#state.upstreams;
    const upstream = fromMessage(limit);
    const known = namedRates.statement(upstream, nowMs);
    // A node that knows no members yet would take itself for the only one.
    const isIssuer = this.#state.hasReadMembers &&
      this.#findIssuer(upstream) === this.#state.settings.nodeName;
    if (!isIssuer || known?.perS === undefined) {
      this.#issuer.forget(upstream);
      return create(peers.PermitReplySchema, {
        isIssuer,
        ...(known ? { limit: toMessage(known) } : {}),
      });
    }
    const { granted, waitMs } = this.#issuer.issue(
      upstream,
      known.perS,
      count,
      core.brandId<core.InstanceId>(node),
      nowMs,
    );
    return create(peers.PermitReplySchema, {
      isIssuer,
      granted,
      waitMs: core.toUint32(waitMs),
      limit: toMessage(known),
    });
  }

  /** Nodes with the same view of the members find the same one. */
  #findIssuer({ id, startedAtMs }: rates.Incarnation): core.InstanceId {
    const { members, settings, capacity } = this.#state;
    const staying = members.alive()
      .filter((node) => !members.row(node)?.isLeaving);
    const [first] = capacity.sizes
      .largeFirst(core.rendezvous(`${id}@${startedAtMs}`, staying));
    return first ?? settings.nodeName;
  }
}

/** Returns the limits that upstreams have named lately, for other nodes. */
export function rateNews(
  { upstreams }: EntryState,
  nowMs: number,
): peers.RateStatement[] {
  return upstreams.namedRates.recent(nowMs).map(toMessage);
}

/** Applies what another node has sent. */
export function applyRateNews(
  state: EntryState,
  news: readonly peers.RateStatement[],
  nowMs: number,
): void {
  for (const message of news) {
    const isReadable = message.perS === undefined ||
      (message.perS >= 0 && Number.isFinite(message.perS));
    if (isReadable) state.mergeRateLimit(fromMessage(message), nowMs);
  }
}

function readReply(
  { isIssuer, granted, waitMs }: peers.PermitReply,
): rates.PermitReply | undefined {
  return isIssuer ? { granted, waitMs } : undefined;
}

function toMessage(statement: rates.RateStatement): peers.RateStatement {
  const { id, startedAtMs, perS, ageMs } = statement;
  return create(peers.RateStatementSchema, {
    upstreamId: id,
    bornMs: startedAtMs,
    ...(perS === undefined ? {} : { perS }),
    ageMs: core.toUint32(ageMs),
  });
}

function fromMessage(
  { upstreamId, bornMs, perS, ageMs }: peers.RateStatement,
): rates.RateStatement {
  return {
    id: core.brandId<core.UpstreamId>(upstreamId),
    startedAtMs: bornMs,
    ...(perS === undefined ? {} : { perS }),
    ageMs,
  };
}
