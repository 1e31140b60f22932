/** Stand-in for the platform's metadata store: the row calls of PROTOCOL.md. */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";

/** Keeps rows in memory; every commit gets the next version. */
export class Store {
  #rows = new Map();
  #changes = [];
  #version = 0;
  #waiting = new Set();
  #historyFrom = 0;
  #startedAtMs = Date.now();
  #server = createServer((request, response) => {
    this.#respond(request).then(({ status, body }) => {
      response.writeHead(status, {
        "content-type": "application/json",
        "store-era": "1",
      });
      response.end(JSON.stringify(body));
    }, () => response.destroy());
  });

  async listen(host) {
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a row as the operator or an engine does. */
  put(table, key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    this.#write({ table, part: "", key }, text, ++this.#version);
    this.#wake();
  }

  remove(table, key) {
    this.#write({ table, part: "", key }, undefined, ++this.#version);
    this.#wake();
  }

  /** Discards the history of all changes so far. */
  forgetHistory() {
    this.#historyFrom = this.#version;
    this.#changes = [];
  }

  #write({ table, part, key }, value, ver) {
    const row = { table, part, key, ver };
    const stored = value === undefined
      ? { ...row, deleted: true }
      : { ...row, value };
    this.#rows.set(`${table}|${part}|${key}`, stored);
    this.#changes.push(stored);
  }

  #wake() {
    for (const wake of [...this.#waiting]) wake();
  }

  #current({ table, part, key }) {
    const row = this.#rows.get(`${table}|${part ?? ""}|${key}`);
    return row && !row.deleted ? row : undefined;
  }

  async #respond(request) {
    let text = "";
    for await (const chunk of request) text += chunk;
    const url = new URL(request.url, "http://store");
    const reply = (status, body) => ({
      status,
      body: { ...body, ver: body.ver ?? this.#version, "now-ms": this.#nowMs },
    });
    if (url.pathname === "/carawaywind/rows-tx") {
      return this.#transact(JSON.parse(text), reply);
    }
    if (url.pathname === "/carawaywind/rows-get") {
      return this.#read(url.searchParams, reply);
    }
    if (url.pathname === "/carawaywind/rows-feed") {
      return await this.#follow(url.searchParams, reply);
    }
    return reply(404, {});
  }

  get #nowMs() {
    return Date.now() - this.#startedAtMs;
  }

  #transact(body, reply) {
    const checks = body["expected-rev"] ?? [];
    const failed = checks.filter((check) =>
      (this.#current(check)?.ver ?? 0) !== check.ver
    );
    if (failed.length > 0) {
      const rows = failed.flatMap((check) => this.#current(check) ?? []);
      return reply(412, { rows });
    }
    const ver = ++this.#version;
    for (const put of body.puts ?? []) this.#write(put, put.value, ver);
    for (const row of body.remove ?? []) this.#write(row, undefined, ver);
    this.#wake();
    return reply(200, { ver });
  }

  #read(query, reply) {
    const from = query.get("from") ?? "";
    const rows = [...this.#rows.values()].filter((row) =>
      row.table === query.get("table") && !row.deleted && row.key >= from
    ).sort((a, b) => a.key < b.key ? -1 : 1);
    return reply(200, {
      rows: rows.slice(0, 500),
      "has-more": rows.length > 500,
    });
  }

  async #follow(query, reply) {
    const after = Number(query.get("after"));
    const endsAtMs = Date.now() + Number(query.get("wait-ms") ?? 0);
    const find = () =>
      this.#changes.filter((row) =>
        row.table === query.get("table") && row.ver > after
      );
    if (after < this.#historyFrom) return reply(410, {});
    while (find().length === 0 && Date.now() < endsAtMs) {
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          this.#waiting.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, endsAtMs - Date.now());
        this.#waiting.add(finish);
      });
    }
    // A row that changed twice is listed once, in its current state.
    const newest = new Map(find().map((row) => [row.key, row]));
    return reply(200, { rows: [...newest.values()] });
  }
}
