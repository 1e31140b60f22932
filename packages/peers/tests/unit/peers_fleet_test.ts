import { create } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import test from "ava";
import { once } from "node:events";
import { request } from "node:http";
import { type AddressInfo, createServer } from "node:net";
import * as core from "../../../core/mod.ts";
import * as testing from "../../../testing/mod.ts";
import { FleetService } from "../../gen/fleet_pb.ts";
import * as peers from "../../mod.ts";

const LARGE_JSON = JSON.stringify("x".repeat(6 * 1024 * 1024));
const silentLogger = new core.Logger({}, () => {});

class EchoHandler extends peers.FleetHandler {
  override exchange(): peers.FleetView {
    return create(peers.FleetViewSchema, { enginesTag: "answered" });
  }

  override requestPermits(
    { limit, count }: peers.PermitRequest,
  ): peers.PermitReply {
    return create(peers.PermitReplySchema, {
      isIssuer: true,
      granted: count,
      ...(limit ? { limit } : {}),
    });
  }

  override readTable(
    { table, position }: peers.ReadTableRequest,
  ): peers.ReadTableReply {
    if (table === "unknown") return create(peers.ReadTableReplySchema);
    const row = { key: "x", version: 7, valueJson: LARGE_JSON };
    return create(peers.ReadTableReplySchema, {
      news: create(peers.TableNewsSchema, {
        table,
        position: { generation: 1, version: 7 },
        changes: { ...(position ? { from: position } : {}), rows: [row] },
      }),
    });
  }
}

// Guards against tables that no node can pass on, as they are too large.
test("a table of several megabytes is read from another node", async (t) => {
  const [port] = await testing.findFreePorts(1);
  const address = `127.0.0.1:${port}`;
  const stop = await peers.startFleetListener(
    new EchoHandler(),
    "127.0.0.1",
    port!,
  );
  const clients = new peers.FleetClients(silentLogger);
  const position = { generation: 1, version: 3 };
  const news = await clients.readTable(address, "op", position);
  t.like(news?.changes?.from, position);
  t.is(news?.changes?.rows[0]?.valueJson, LARGE_JSON);
  t.is(await clients.readTable(address, "unknown", undefined), undefined);
  await stop();
  t.is(await clients.readTable(address, "op", undefined), undefined);
  await clients.close();
});

test("a peer whose answer never ends is given up", async (t) => {
  let open = 0;
  const server = createServer((socket) => {
    open++;
    socket.on("error", () => {});
    socket.on("close", () => open--);
    socket.write("HTTP/1.1 200 OK\r\ncontent-type: application/proto\r\n");
    const write = () => {
      if (socket.destroyed) return;
      if (socket.write("x-more: y\r\n")) setImmediate(write);
      else socket.once("drain", write);
    };
    write();
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const clients = new peers.FleetClients(silentLogger);
  const startedAtMs = performance.now();
  const { port } = server.address() as AddressInfo;
  const view = await clients.exchange(
    `127.0.0.1:${port}`,
    create(peers.NodeDigestSchema, { node: "a" }),
  );
  t.is(view, undefined);
  t.true(performance.now() - startedAtMs < 1_000);
  await core.sleep(100);
  t.is(open, 0, "a connection is still open");
  await clients.close();
  server.close();
});

test("clients of the connect library and malformed messages are answered", async (t) => {
  const [port] = await testing.findFreePorts(1);
  const origin = `http://127.0.0.1:${port}`;
  const stop = await peers.startFleetListener(
    new EchoHandler(),
    "127.0.0.1",
    port!,
  );
  for (const useBinaryFormat of [true, false]) {
    const client = createClient(
      FleetService,
      createConnectTransport({
        baseUrl: origin,
        httpVersion: "1.1",
        useBinaryFormat,
      }),
    );
    const view = await client.exchange({ node: "a" });
    t.is(view.enginesTag, "answered");
  }
  const malformed = await fetch(
    `${origin}/carawaywind.fleet.v1.FleetService/Exchange`,
    {
      method: "POST",
      headers: { "content-type": "application/proto" },
      body: new Uint8Array([0xff, 0xff, 0xff]),
    },
  );
  t.is(malformed.status, 400);
  t.is((await malformed.json() as { code: string }).code, "invalid_argument");
  const clients = new peers.FleetClients(silentLogger);
  const digest = create(peers.NodeDigestSchema, { node: "a" });
  const view = await clients.exchange(`127.0.0.1:${port}`, digest);
  t.is(view?.enginesTag, "answered");
  await clients.close();
  await stop();
});

test("a digest that never ends is rejected, and others are answered", async (t) => {
  const [port] = await testing.findFreePorts(1);
  const stop = await peers.startFleetListener(
    new EchoHandler(),
    "127.0.0.1",
    port!,
  );
  const endless = request({
    host: "127.0.0.1",
    port: port!,
    method: "POST",
    path: "/carawaywind.fleet.v1.FleetService/Exchange",
    headers: { "content-type": "application/proto" },
  });
  endless.on("error", () => {});
  const ended = new Promise((resolve) => {
    endless.on("response", resolve).on("close", resolve);
  });
  const writing = setInterval(() => endless.write("x".repeat(500_000)), 5);
  const clients = new peers.FleetClients(silentLogger);
  const view = await clients.exchange(
    `127.0.0.1:${port}`,
    create(peers.NodeDigestSchema, { node: "a" }),
  );
  t.is(view?.enginesTag, "answered");
  await ended;
  t.pass();
  clearInterval(writing);
  endless.destroy();
  await clients.close();
  await stop();
});

// Guards against a service that does not answer what its client sends.
test("permits are asked for at another node", async (t) => {
  const [port] = await testing.findFreePorts(1);
  const address = `127.0.0.1:${port}`;
  const stop = await peers.startFleetListener(
    new EchoHandler(),
    "127.0.0.1",
    port!,
  );
  const clients = new peers.FleetClients(silentLogger);
  const limit = create(peers.RateStatementSchema, {
    upstreamId: "u1",
    bornMs: 3,
    perS: 0,
    ageMs: 7,
  });
  const request = create(peers.PermitRequestSchema, { limit, count: 5 });
  const reply = await clients.requestPermits(address, request);
  t.is(reply?.granted, 5);
  t.like(reply?.limit, { upstreamId: "u1", bornMs: 3, perS: 0, ageMs: 7 });
  await stop();
  t.is(await clients.requestPermits(address, request), undefined);
  await clients.close();
});
