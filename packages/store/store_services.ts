/** Clients of the object store, the instance list and the weight store. */
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

/** Stores large text values by name. */
export abstract class ObjectStore {
  abstract put(
    name: string,
    text: string,
  ): Promise<Result<void, StoreFailure>>;
  abstract get(name: string): Promise<Result<string, StoreFailure>>;
}

/** Lists live and leaving instances; the list may lag. */
export abstract class InstanceList {
  abstract list(): Promise<Result<readonly ListedInstance[], StoreFailure>>;
}

/** Manifests of the rate-limited store from which engines load weights. */
export abstract class WeightStore {
  abstract manifest(
    artifactId: core.ArtifactId,
  ): Promise<Result<ArtifactManifest, StoreFailure>>;
}

/** Origin and request time-out of a platform service. */
export interface HttpServiceOptions {
  readonly dispatcher: Dispatcher;
  readonly origin: string;
  readonly timeoutMs: number;
}

async function sendRequest(
  options: HttpServiceOptions,
  method: "GET" | "PUT",
  path: string,
  bodyText?: string,
): Promise<Result<string, StoreFailure>> {
  const response = await transport.send(options.dispatcher, {
    origin: options.origin,
    timeoutMs: options.timeoutMs,
    method,
    path,
    ...(bodyText === undefined ? {} : { bodyText }),
  });
  if (response.isErr()) {
    const { sent, detail } = response.error;
    const effect = sent === "no" ? "none" : "unknown";
    return err({ effect, reached: false, detail });
  }
  if (response.value.status === 200) return ok(response.value.bodyText);
  const detail = `status ${response.value.status}`;
  return err({ effect: "none", reached: true, detail });
}

function invalidResponse(detail: string): StoreFailure {
  return { effect: "unknown", reached: true, detail };
}

/** Uses `PUT` and `GET /v1/objects/{name}`. */
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
    const response = await sendRequest(this.#options, "PUT", path, text);
    return response.map(() => undefined);
  }

  override get(name: string): Promise<Result<string, StoreFailure>> {
    const path = `/v1/objects/${encodeURIComponent(name)}`;
    return sendRequest(this.#options, "GET", path);
  }
}

/** Uses `GET /v1/instances`. */
export class HttpInstanceList extends InstanceList {
  readonly #options: HttpServiceOptions;

  constructor(options: HttpServiceOptions) {
    super();
    this.#options = options;
  }

  override async list(): Promise<
    Result<readonly ListedInstance[], StoreFailure>
  > {
    const response = await sendRequest(this.#options, "GET", "/v1/instances");
    return response.andThen((text) =>
      core.decodeJson(text, InstanceListCodec)
        .map((body) => body.instances as ListedInstance[])
        .mapErr(invalidResponse)
    );
  }
}

/** Uses `GET /v1/artifacts/{id}`. */
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
    const response = await sendRequest(this.#options, "GET", path);
    return response.andThen((text) =>
      core.decodeJson(text, ManifestCodec)
        .map((body) => body as unknown as ArtifactManifest)
        .mapErr(invalidResponse)
    );
  }
}
