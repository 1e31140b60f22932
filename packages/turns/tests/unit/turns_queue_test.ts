import test from "ava";
import * as core from "../../../core/mod.ts";
import * as turns from "../../mod.ts";

const TURN_MS = 5;
const LIGHT_MS = 1;

/** Records when it is its turn. */
class RecordedReader extends turns.TurnReader {
  readonly #name: string;
  readonly #log: string[];
  readonly hasPending = true;
  readonly expectedMs = 0;
  /** Called in its turn. */
  onTurn: () => void = () => {};

  constructor(name: string, log: string[]) {
    super();
    this.#name = name;
    this.#log = log;
  }

  override readOn(): void {
    this.#log.push(this.#name);
    this.onTurn();
  }

  override onDeferred(): void {
    this.#log.push(`${this.#name} waits`);
  }
}

function makeTurns(names: readonly string[]) {
  const log: string[] = [];
  const queue = new turns.ReadTurns(TURN_MS, LIGHT_MS);
  const readers = names.map((name) => new RecordedReader(name, log));
  return { log, queue, readers };
}

const nextTurn = () => new Promise((resolve) => setImmediate(resolve));

// Guards against connections that take a turn for themselves.
test("a turn whose time is over serves others later, least used first", async (t) => {
  const { log, queue, readers } = makeTurns(["most", "less", "least"]);
  const [most, less, least] = readers;
  queue.spend(most!, 9);
  queue.spend(less!, 6);
  queue.spend(least!, 3);
  for (const reader of readers) t.false(queue.tryTake(reader));
  t.true(queue.isContended);
  await nextTurn();
  t.deepEqual(log.slice(3), ["least", "less", "most"]);
  t.false(queue.isContended);
});

// Guards against ordinary requests that wait behind those that take much.
test("a connection that took little does not wait", (t) => {
  const { log, queue, readers } = makeTurns(["heavy", "light"]);
  queue.spend(readers[0]!, TURN_MS);
  t.false(queue.tryTake(readers[0]!));
  t.true(queue.tryTake(readers[1]!));
  t.deepEqual(log, ["heavy waits"]);
});

// Guards against turns that last as long as there are connections.
test("each turn ends after its time", async (t) => {
  const { log, queue, readers } = makeTurns(["a", "b", "c"]);
  for (const reader of readers) {
    reader.onTurn = () => queue.spend(reader, TURN_MS);
    queue.spend(reader, TURN_MS);
    queue.tryTake(reader);
  }
  const served = () => log.filter((line) => !line.includes("waits")).length;
  await nextTurn();
  t.is(served(), 1);
  await nextTurn();
  t.is(served(), 2);
  await core.sleep(20);
  t.is(served(), 3);
});

// Guards against a crowd of new connections that waits for others' bodies.
test("a turn is shorter while connections are accepted", (t) => {
  const { queue, readers } = makeTurns(["reader"]);
  queue.spend(readers[0]!, 2);
  t.true(queue.tryTake(readers[0]!));
  queue.noteAccept();
  t.false(queue.tryTake(readers[0]!));
});

// Guards against closed connections that are parsed.
test("a connection that has closed gets no turn", async (t) => {
  const { log, queue, readers } = makeTurns(["closed"]);
  queue.spend(readers[0]!, TURN_MS);
  queue.tryTake(readers[0]!);
  queue.remove(readers[0]!);
  await nextTurn();
  t.deepEqual(log, ["closed waits"]);
});
