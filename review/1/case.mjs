/**
 * An engine sends a second copy of some answers, late, where the next answer on
 * the connection is expected. Checks that no order runs twice, and that no order
 * that was answered 503 has run.
 */
import { Agent, createServer, request as sendRequest } from "node:http";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { EntryNode } from "../stand_ins/node.mjs";
import { note, randomFrom, writeRecord } from "../stand_ins/record.mjs";
import { Store } from "../stand_ins/store.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const SEED = Number(process.env.SEED ?? Date.now() % 100_000);
const LENGTH_S = 66;
const RECORD = fileURLToPath(new URL("record.txt", import.meta.url));

/** The largest doses of `garble` (extra late) in the site file. */
const COPIED_SHARE = 0.03;
const TROUBLE_FOR_S = 5;
/** Begins of the periods in which one of the two engines sends copies. */
const TROUBLE_AT_S = [3, 11, 19, 27, 35, 43, 51, 59];

const SERVICE = "kiosk-api";
const ROUTE_HOST = "wuny96.example";
const SLOTS = 3;
const QUEUE = 2;
const WORK_MEAN_MS = 21.4;
const ORDERS_PER_S = 230;

const random = randomFrom(SEED);
const store = new Store();
const node = new EntryNode("front-calama-1", "calama");
const isTrouble = () => {
  const atS = (Date.now() - beganAtMs) / 1_000;
  return HAS_TROUBLE &&
    TROUBLE_AT_S.some((fromS) => atS >= fromS && atS < fromS + TROUBLE_FOR_S);
};
let beganAtMs = Infinity;
/** Runs by request id, and answers by request id. */
const runs = new Map();
const answers = new Map();
const counts = { answers: 0, refusals: 0, copies: 0, copiesOfRefusals: 0 };

/** An engine of a plain service, with slots and a short queue. */
class Engine {
  #running = 0;
  #queue = [];
  /** Copies that the share of answers allows by now. */
  #allowed = 0;
  #server = createServer((request, response) => {
    this.#inTurn(request, response);
  });

  constructor(id, sendsCopies) {
    this.id = id;
    this.sendsCopies = sendsCopies;
    this.#server.keepAliveTimeout = 30_000;
  }

  async start(host) {
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    const { port } = this.#server.address();
    this.address = `${host}:${port}`;
    this.bornMs = Date.now();
    this.beat();
    this.timer = setInterval(() => this.beat(), 1_200);
  }

  stop() {
    clearInterval(this.timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  beat() {
    this.seq = (this.seq ?? 0) + 1;
    store.put("servers", this.id, {
      service: SERVICE,
      address: this.address,
      zone: "calama",
      version: "v1",
      slots: SLOTS,
      state: "ready",
      "cold-left-ms": 0,
      seq: this.seq,
      born: this.bornMs,
    });
  }

  /** Serves the requests of one connection one after the other. */
  #inTurn(request, response) {
    const { socket } = request;
    const before = socket.lastTurn ?? Promise.resolve();
    socket.lastTurn = before.then(() => this.#serve(request, response))
      .catch(() => response.destroy());
  }

  async #serve(request, response) {
    const { socket, headers } = request;
    for await (const _chunk of request);
    const id = headers["request-id"];
    if (socket.lateCopy) {
      // The second copy of the answer before, where this answer is expected.
      const { bytes, of } = socket.lateCopy;
      socket.lateCopy = undefined;
      note("copy", this.id, "second copy of the answer to", of, "before", id);
      socket.write(bytes);
    }
    if (headers["expect-instance"] !== this.id) {
      return await this.#answer(response, id, 421, { "not-executed": "1" }, "");
    }
    if (this.#running >= SLOTS && this.#queue.length >= QUEUE) {
      counts.refusals++;
      note("full", this.id, id, "503 Not-Executed");
      return await this.#answer(response, id, 503, { "not-executed": "1" }, "");
    }
    if (this.#running >= SLOTS) {
      await new Promise((resolve) => this.#queue.push(resolve));
    } else this.#running++;
    if (socket.destroyed) return this.#release();
    runs.set(id, (runs.get(id) ?? 0) + 1);
    note("run", this.id, id, `run ${runs.get(id)}`);
    const workMs = -Math.log(1 - random()) * WORK_MEAN_MS;
    await new Promise((resolve) => setTimeout(resolve, workMs));
    this.#release();
    const seal = { "response-seal": `seal.${this.id}.${id}` };
    await this.#answer(response, id, 200, seal, `done ${id}`);
  }

  #release() {
    const next = this.#queue.shift();
    if (next) next();
    else this.#running--;
  }

  async #answer(response, id, status, headers, body) {
    const { socket } = response;
    if (!socket || socket.destroyed) return;
    const fields = {
      "request-id": id,
      ...headers,
      "content-length": String(body.length),
      connection: "keep-alive",
    };
    await new Promise((resolve) => {
      response.on("close", resolve);
      response.writeHead(status, fields).end(body);
    });
    counts.answers++;
    if (!this.sendsCopies || !isTrouble()) return;
    this.#allowed += COPIED_SHARE;
    if (status === 200 || this.#allowed < 1) return;
    this.#allowed--;
    counts.copies++;
    if (status !== 200) counts.copiesOfRefusals++;
    const head = Object.entries(fields).map(([key, value]) =>
      `${key}: ${value}\r\n`
    ).join("");
    const reason = status === 200 ? "OK" : "Unavailable";
    const bytes = `HTTP/1.1 ${status} ${reason}\r\n${head}\r\n${body}`;
    socket.lateCopy = { bytes, of: `${id} (${status})` };
  }
}

const agent = new Agent({ keepAlive: true, maxSockets: 200 });
let sent = 0;

function sendOrder() {
  const id = `${SEED.toString(16)}-${(sent++).toString(16).padStart(6, "0")}`;
  note("sent", id);
  const outgoing = sendRequest({
    host: node.host,
    port: node.port,
    agent,
    method: "POST",
    path: "/rapu33/order",
    headers: {
      host: ROUTE_HOST,
      "request-id": id,
      "deadline-ms": "3000",
      "content-length": "7",
    },
  }, (response) => {
    let body = "";
    response.on("data", (data) => body += data);
    response.on("end", () => {
      answers.set(id, response.statusCode);
      note("answer", id, response.statusCode, body.slice(0, 40));
    });
    response.on("error", () => note("answer", id, "broken off"));
  });
  outgoing.on("error", (error) => note("answer", id, error.message));
  outgoing.end("order 1");
}

function verdict() {
  const twice = [...runs].filter(([, count]) => count > 1);
  for (const [id, count] of twice) {
    note("BROKEN", "TWICE", id, `ran ${count} times`, answers.get(id) ?? "-");
  }
  const refused = [...answers].filter(([id, status]) =>
    [408, 421, 429, 503].includes(status) && runs.has(id)
  );
  for (const [id, status] of refused) {
    note("BROKEN", "REFUSED", id, `answered ${status} and ran`);
  }
  note("counts", JSON.stringify({ seed: SEED, sent, ...counts }));
  console.log(
    `seed ${SEED}: ${sent} orders, ${counts.copies} copies of ` +
      `${counts.answers} answers (${counts.copiesOfRefusals} of refusals); ` +
      `TWICE ${twice.length}, REFUSED ${refused.length}`,
  );
  return twice.length + refused.length > 0 ? 1 : 0;
}

let code = 2;
const engines = [new Engine("i-aa01", true), new Engine("i-aa02", false)];
try {
  await store.listen("127.0.0.1");
  for (const engine of engines) await engine.start("127.0.0.1");
  store.put("op", "config", {
    version: 3,
    routes: [{
      name: "dispense",
      host: ROUTE_HOST,
      "path-prefix": "/rapu33/",
      kind: "unsafe",
      "timeout-ms": 1500,
      "target-latency-ms": 300,
      priority: 2,
      service: SERVICE,
      "max-attempts": 1,
    }],
    services: [{ name: SERVICE, "max-conns": 110 }],
    limits: {
      "max-header-bytes": 16384,
      "max-body-bytes": 4194304,
      "header-timeout-ms": 5000,
      "idle-timeout-ms": 15000,
    },
  });
  await node.start(store.address);
  await node.ready();
  beganAtMs = Date.now();
  const endsAtMs = beganAtMs + LENGTH_S * 1_000;
  while (Date.now() < endsAtMs) {
    sendOrder();
    const pauseMs = -Math.log(1 - random()) * 1_000 / ORDERS_PER_S;
    await new Promise((resolve) => setTimeout(resolve, pauseMs));
  }
  await new Promise((resolve) => setTimeout(resolve, 3_500));
  code = answers.size > sent / 2 ? verdict() : 2;
} catch (thrown) {
  console.error(thrown);
} finally {
  writeRecord(RECORD);
  await node.kill();
  for (const engine of engines) engine.stop();
  store.close();
}
process.exit(code);
