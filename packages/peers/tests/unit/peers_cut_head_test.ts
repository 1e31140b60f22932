/** Other nodes that stop in the middle of an answer's head. */
import { create } from "@bufbuild/protobuf";
import test from "ava";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";
import * as transport from "../../../transport/mod.ts";
import { DigestSchema } from "../../gen/peers_pb.ts";
import * as peers from "../../mod.ts";

const TIMEOUT_MS = 10_000;

/** An empty message, which decodes as an empty list, in three framings. */
const answersOf = (type: string) =>
  ["content-length: 0", "transfer-encoding: chunked", "connection: close"]
    .map((framing) =>
      `HTTP/1.1 200 OK\r\ncontent-type: ${type}\r\n${framing}\r\n\r\n` +
      (framing.endsWith("chunked") ? "0\r\n\r\n" : "")
    );

type Ask = (address: string) => Promise<unknown>;

const silentLogger = new core.Logger({}, () => {});
const clients = new peers.PeerClients(TIMEOUT_MS, new transport.SocketMeter());
const fleet = new peers.FleetClients(silentLogger);

test.after.always(async () => {
  clients.close();
  await fleet.close();
});

const CLAIM = {
  callerId: core.brandId<core.CallerId>("kiosk"),
  key: core.brandId<core.IdempotencyKey>("k"),
  nonce: core.brandId<core.Nonce>("nc-1"),
  owner: core.brandId<core.InstanceId>("n"),
  incarnation: core.brandId<core.Incarnation>("in-1"),
};

/** Calls, and what each returns if it has no answer. */
const CALLS: Readonly<Record<string, { ask: Ask; expected: unknown }>> = {
  "an exchange of the fleet": {
    ask: (address) => fleet.exchange(address, create(peers.NodeDigestSchema)),
    expected: undefined,
  },
  "a read of a table": {
    ask: (address) => fleet.readTable(address, "op", undefined),
    expected: undefined,
  },
  "an exchange of peers": {
    ask: (address) =>
      clients.exchange(`http://${address}`, create(DigestSchema)),
    expected: "failed",
  },
  "a table of a peer": {
    ask: (address) => clients.fetchTable(`http://${address}`, 0, true),
    expected: undefined,
  },
  "the fate of a claim": {
    ask: (address) => clients.resolveClaim(`http://${address}`, CLAIM),
    expected: { kind: "unreachable" },
  },
};

// Guards against an empty list of members, an empty table or an abandoned claim,
// where the answer of another node stopped in the middle of its head.
for (const [name, { ask, expected }] of Object.entries(CALLS)) {
  test(`a head that is cut off is no answer to ${name}`, async (t) => {
    const server = await testing.CutServer.start();
    t.teardown(() => server.stop());
    for (const answer of answersOf("application/proto")) {
      for (const { bytes, cut } of testing.cutHeads(answer)) {
        Object.assign(server, { answer: bytes, cut });
        const answered = await ask(server.address);
        t.deepEqual(answered, expected, JSON.stringify({ bytes, cut }));
      }
    }
  });
}
