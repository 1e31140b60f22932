/** Codecs of the responses of the platform's services. */
import {
  array,
  Codec,
  enumeration,
  type GetType,
  number,
  oneOf,
  optional,
  string,
  unknown,
} from "purify-ts";

export const StoredRowCodec = Codec.interface({
  key: string,
  version: number,
  value: unknown,
});

export const ReadResponseCodec = Codec.interface({
  rows: array(StoredRowCodec),
});

enum CommittedTag {
  Committed = "committed",
}

enum ConflictTag {
  Conflict = "conflict",
}

enum KindTag {
  Entry = "entry",
  Engine = "engine",
  Service = "service",
}

enum StateTag {
  Live = "live",
  Leaving = "leaving",
}

export const TransactResponseCodec = oneOf([
  Codec.interface({ outcome: enumeration(CommittedTag), version: number }),
  Codec.interface({
    outcome: enumeration(ConflictTag),
    rows: array(StoredRowCodec),
  }),
]);

export const ListedInstanceCodec = Codec.interface({
  id: string,
  kind: enumeration(KindTag),
  address: string,
  failureDomain: string,
  state: enumeration(StateTag),
  service: optional(string),
  peerAddress: optional(string),
});

export const InstanceListCodec = Codec.interface({
  instances: array(ListedInstanceCodec),
});

export const ManifestCodec = Codec.interface({
  artifactId: string,
  weightBytes: number,
});

/** The decoded response of the instance list. */
export type InstanceListResponse = GetType<typeof InstanceListCodec>;
