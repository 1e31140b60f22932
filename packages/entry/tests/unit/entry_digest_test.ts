import test from "ava";
import { create, toBinary } from "@bufbuild/protobuf";
import * as core from "../../../core/mod.ts";
import * as peers from "../../../peers/mod.ts";
import * as testing from "../../../testing/mod.ts";
import {
  addUses,
  makeDigest,
  sumUses,
  usesWithout,
} from "../../entry_digest.ts";
import { EntryState } from "../../entry_state.ts";
import { makeEntrySettings } from "../entry_settings.ts";

const UINT32_MAX = 0xffff_ffff;

const encode = (digest: peers.NodeDigest) =>
  toBinary(peers.NodeDigestSchema, digest);

// Guards against a node that exchanges nothing while it serves one request with
// huge counts of tokens.
test("a digest of requests with huge token counts is encoded", (t) => {
  const state = new EntryState(
    makeEntrySettings("n1"),
    new core.Logger({}, () => {}),
  );
  state.setUpstream(testing.makeUpstreamRecord({}));
  const [upstream] = [...state.upstreams.all()];
  for (let n = 0; n < 2; n++) {
    upstream!.trackRequest({
      model: core.brandId<core.ModelName>("m"),
      modelKey: "m/",
      prefillMs: 1,
      reservedTokens: 2 * UINT32_MAX,
      outputTokensMax: UINT32_MAX,
      sentAtMs: core.monotonicMs(),
      hasOutput: false,
    });
  }
  const digest = makeDigest(state, core.monotonicMs());
  t.is(digest.uses[0]?.tokens, UINT32_MAX);
  t.notThrows(() => encode(digest));
});

test("sums of huge loads are encoded", (t) => {
  const use = () =>
    create(peers.EngineUseSchema, {
      upstreamId: "u",
      inFlight: 1,
      tokens: UINT32_MAX - 1,
    });
  const digests = ["n1", "n2"].map((node) =>
    create(peers.NodeDigestSchema, { node, uses: [use()] })
  );
  const sums = sumUses(digests);
  addUses(sums, [use()]);
  const uses = usesWithout(sums, undefined);
  t.is(uses[0]?.tokens, UINT32_MAX);
  t.notThrows(() =>
    encode(create(peers.NodeDigestSchema, { node: "root", uses }))
  );
});
