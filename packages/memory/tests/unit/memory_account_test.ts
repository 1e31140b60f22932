import test from "ava";
import * as memory from "../../mod.ts";

const MB = 1024 * 1024;

function makeMemory(requestsMax = 100): memory.NodeMemory {
  const limits = memory.deriveLimits({ memoryMb: 160 });
  return new memory.NodeMemory({
    ...limits,
    accountBytes: 10 * MB,
    responseBytes: 5 * MB,
    requestsMax,
  });
}

/** Opens a request and records whether it was shed. */
function open(node: memory.NodeMemory) {
  const hold = node.openRequest()!;
  const opened = { hold, isShed: false };
  hold.onShed = () => opened.isShed = true;
  return opened;
}

// Guards against an ordinary client that is shed for what another one holds.
test("the request that holds most and has begun least is shed", (t) => {
  const node = makeMemory();
  const small = open(node);
  const running = open(node);
  const stalled = open(node);
  small.hold.setReading(1_000, 1);
  running.hold.setRead(5 * MB);
  stalled.hold.setReading(4 * MB, 10);
  const next = open(node);
  next.hold.setReading(2 * MB, 10);
  t.true(stalled.isShed);
  t.false(small.isShed || running.isShed || next.isShed);
  t.true(node.heldBytes <= 10 * MB);
});

// Guards against chunks of one byte that take the processor at no cost.
test("of equal bodies the one in more chunks is shed", (t) => {
  const node = makeMemory();
  const large = open(node);
  const tiny = open(node);
  large.hold.setReading(4 * MB, 64);
  tiny.hold.setReading(4 * MB, 1_000_000);
  open(node).hold.setReading(3 * MB, 48);
  t.true(tiny.isShed);
  t.false(large.isShed);
});

// Guards against requests beyond the descriptors, and a place that is lost.
test("a new request takes the place of one whose body is read", (t) => {
  const node = makeMemory(2);
  const first = open(node);
  const second = open(node);
  first.hold.setReading(1_000, 1);
  second.hold.setReading(0, 0);
  const third = open(node);
  t.true(first.isShed);
  t.false(second.isShed);
  second.hold.setRead(0);
  third.hold.setRead(0);
  t.is(node.openRequest(), undefined);
  third.hold.close();
  t.not(node.openRequest(), undefined);
});

// Guards against parts that are bounded one by one, and not with the rest.
test("responses, messages and bodies share the account", (t) => {
  const node = makeMemory();
  let evicted = 0;
  const response = node.responses.open(() => evicted++);
  response.set(4 * MB);
  const running = open(node);
  running.hold.setRead(5 * MB);
  t.is(evicted, 0);
  t.false(running.isShed);
  open(node).hold.setRead(2 * MB);
  t.true(running.isShed);
  response.set(6 * MB);
  t.is(evicted, 1);
});

// Guards against unused blocks that cost a client its request.
test("unused blocks are dropped before a request is shed", (t) => {
  const node = makeMemory();
  node.blocks.give(Array.from({ length: 100 }, () => node.blocks.take()));
  const before = node.heldBytes;
  const opened = open(node);
  opened.hold.setRead(8 * MB);
  t.true(before > 6 * MB);
  t.false(opened.isShed);
  t.is(node.blocks.freeBytes, 0);
});

// Guards against a limit that the machine cannot hold, and one that is too low.
test("every machine has room for a body of the largest size", (t) => {
  for (const memoryMb of [160, 210, 490, 602, undefined]) {
    const limits = memory.deriveLimits({
      ...(memoryMb === undefined ? {} : { memoryMb }),
      descriptorsMax: 300,
    });
    t.true(limits.accountBytes >= 3 * 4_194_304, `${memoryMb} MB`);
    t.true(limits.accountBytes < ((memoryMb ?? 477) - 90) * MB);
    const descriptors = limits.requestsMax + limits.callerConnectionsMax +
      limits.peerConnectionsMax + 3 * limits.systemConnectionsMax;
    t.true(descriptors < 300 - 32, `${descriptors} descriptors`);
  }
});
