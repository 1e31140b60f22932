import test from "ava";
import { create } from "@bufbuild/protobuf";
import * as peers from "../../../peers/mod.ts";
import { ageEngineStates } from "../../entry_engine_states.ts";

const models = [
  { model: "loading", isUsable: false, adapters: [], readyInMs: 100 },
  { model: "draining", isUsable: false, adapters: [], readyInMs: 0 },
];

test("a load whose expected time has passed is not passed on as a drained replica", (t) => {
  const engine = create(peers.EngineStateSchema, {
    upstreamId: "e",
    bornMs: 1,
    models,
  });
  const states = { tag: "t", engines: [engine], atMs: 1_000 };
  const readyAfter = (ageMs: number) =>
    ageEngineStates(states, 1_000 + ageMs)[0]?.models
      .map(({ readyInMs }) => readyInMs);
  t.deepEqual(readyAfter(40), [60, 0]);
  t.deepEqual(readyAfter(250), [1, 0]);
});
