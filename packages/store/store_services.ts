/** The object store, the instance list and the weight store. */
import { err, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import * as core from "../core/mod.ts";
import * as transport from "../transport/mod.ts";
import { InstanceListCodec, ManifestCodec } from "./store_codecs.ts";
import type {
  ArtifactManifest,
  ListedInstance,
  StoreFailure,
} from "./store_types.ts";

/** Large values by name. */
export abstract class ObjectStore {
  abstract put(
    name: string,
    text: string,
  ): Promise<Result<void, StoreFailure>>;
  abstract get(name: string): Promise<Result<string, StoreFailure>>;
}

/** A lagging list of live and leaving instances. */
export abstract class InstanceList {
  abstract list(): Promise<Result<readonly ListedInstance[], StoreFailure>>;
}

/** The rate-limited store from which engines load weights. */
export abstract class WeightStore {
  abstract manifest(
    artifactId: core.ArtifactId,
  ): Promise<Result<ArtifactManifest, StoreFailure>>;
}

/** Where a platform service is and how long to wait for it. */
export interface HttpServiceOptions {
  readonly dispatcher: Dispatcher;
  readonly origin: string;
  readonly timeoutMs: number;
}

async function exchange(
  options: HttpServiceOptions,
  method: "GET" | "PUT",
  path: string,
  bodyText?: string,
): Promise<Result<string, StoreFailure>> {
  const answer = await transport.send(options.dispatcher, {
    origin: options.origin,
    timeoutMs: options.timeoutMs,
    method,
    path,
    ...(bodyText === undefined ? {} : { bodyText }),
  });
  if (answer.isErr()) {
    const { sent, detail } = answer.error;
    const effect = sent === "no" ? "none" : "unknown";
    return err({ effect, reached: false, detail });
  }
  if (answer.value.status === 200) return ok(answer.value.bodyText);
  const detail = `status ${answer.value.status}`;
  return err({ effect: "none", reached: true, detail });
}

function invalidAnswer(detail: string): StoreFailure {
  return { effect: "unknown", reached: true, detail };
}

/** Speaks `PUT` and `GET /v1/objects/{name}`. */
export class HttpObjectStore extends ObjectStore {
  readonly #options: HttpServiceOptions;

  constructor(options: HttpServiceOptions) {
    super();
    this.#options = options;
  }

  override async put(
    name: string,
    text: string,
  ): Promise<Result<void, StoreFailure>> {
    const path = `/v1/objects/${encodeURIComponent(name)}`;
    const answer = await exchange(this.#options, "PUT", path, text);
    return answer.map(() => undefined);
  }

  override get(name: string): Promise<Result<string, StoreFailure>> {
    const path = `/v1/objects/${encodeURIComponent(name)}`;
    return exchange(this.#options, "GET", path);
  }
}

/** Speaks `GET /v1/instances`. */
export class HttpInstanceList extends InstanceList {
  readonly #options: HttpServiceOptions;

  constructor(options: HttpServiceOptions) {
    super();
    this.#options = options;
  }

  override async list(): Promise<
    Result<readonly ListedInstance[], StoreFailure>
  > {
    const answer = await exchange(this.#options, "GET", "/v1/instances");
    return answer.andThen((text) =>
      core.decodeJson(text, InstanceListCodec)
        .map((body) => body.instances as ListedInstance[])
        .mapErr(invalidAnswer)
    );
  }
}

/** Speaks `GET /v1/artifacts/{id}`. */
export class HttpWeightStore extends WeightStore {
  readonly #options: HttpServiceOptions;

  constructor(options: HttpServiceOptions) {
    super();
    this.#options = options;
  }

  override async manifest(
    artifactId: core.ArtifactId,
  ): Promise<Result<ArtifactManifest, StoreFailure>> {
    const path = `/v1/artifacts/${encodeURIComponent(artifactId)}`;
    const answer = await exchange(this.#options, "GET", path);
    return answer.andThen((text) =>
      core.decodeJson(text, ManifestCodec)
        .map((body) => body as unknown as ArtifactManifest)
        .mapErr(invalidAnswer)
    );
  }
}
