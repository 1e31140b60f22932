/** HTTP clients of upstreams; engine clients are cached by address. */
import { Agent } from "undici";
import * as gateway from "../../gateway/mod.ts";
import type * as store from "../../store/mod.ts";
import type * as routing from "../../routing/mod.ts";
import * as transport from "../../transport/mod.ts";
import * as upstream from "../../upstream/mod.ts";

const CONNECT_TIMEOUT_MS = 1_000;
/** Shorter than the upstreams' own keep-alive time-out for idle connections. */
const KEEP_ALIVE_MS = 3_000;
/** No time limit for silence: each request is aborted at its own deadline. */
const SILENCE_UNLIMITED = { headersTimeout: 0, bodyTimeout: 0 };
/** Largest completion with neither a length nor chunks. */
const UNFRAMED_BYTES_MAX = 8 * 1024 * 1024;

/** Creates HTTP clients and owns their connection pools. */
export class HttpUpstreamClients extends gateway.UpstreamClients {
  readonly dropped: upstream.DroppedResponses = { foreign: 0, duplicate: 0 };
  readonly #agent = new Agent({
    connect: transport.connector(CONNECT_TIMEOUT_MS),
    keepAliveTimeout: KEEP_ALIVE_MS,
    ...SILENCE_UNLIMITED,
  });
  readonly #serviceAgent = new Agent({
    connect: transport.connector(CONNECT_TIMEOUT_MS),
    ...SILENCE_UNLIMITED,
  });
  readonly #dispatcher = transport
    .guardUnframedBodies(this.#agent, UNFRAMED_BYTES_MAX);
  /** Separate pool, so that reports do not queue behind callers' requests. */
  readonly #controlAgent: Agent;
  readonly #engines = new Map<string, upstream.Engine>();
  readonly #controlTimeoutMs: number;

  constructor(controlTimeoutMs: number, meter: transport.SocketMeter) {
    super();
    this.#controlTimeoutMs = controlTimeoutMs;
    this.#controlAgent = new Agent({
      connect: meter.connector(CONNECT_TIMEOUT_MS),
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
  }

  override engine(view: routing.EngineView): upstream.Engine {
    const origin = view.listed.address;
    const known = this.#engines.get(origin);
    if (known) return known;
    const engine = new upstream.HttpEngine({
      dispatcher: this.#dispatcher,
      controlDispatcher: this.#controlAgent,
      origin,
      controlTimeoutMs: this.#controlTimeoutMs,
      dropped: this.dropped,
    });
    this.#engines.set(origin, engine);
    return engine;
  }

  override service(listed: store.ListedInstance): upstream.PlainService {
    return new upstream.HttpPlainService(this.#serviceAgent, listed.address);
  }

  /** Destroys the connection pools, which aborts requests still in flight. */
  async close(): Promise<void> {
    await Promise.all([
      this.#agent.destroy(),
      this.#controlAgent.destroy(),
      this.#serviceAgent.destroy(),
    ]);
  }
}
