import test from "ava";
import * as core from "../../../core/mod.ts";
import * as memory from "../../mod.ts";

const MB = 1024 * 1024;

class FakeProcess extends memory.WatchedProcess {
  usedMb = 90;
  garbageMb = 0;
  collections = 0;
  override usedBytes(): number {
    return (this.usedMb + this.garbageMb) * MB;
  }
  override collect(): void {
    this.collections++;
    this.garbageMb = 0;
  }
  override collectYoung(): void {}
}

function startWatch(machine: { memoryMb?: number }) {
  const node = new memory.NodeMemory(memory.deriveLimits(machine));
  const watched = new FakeProcess();
  const lines: string[] = [];
  const logger = new core.Logger({}, (line) => lines.push(line));
  const watch = new memory.MemoryWatch(node, logger, watched);
  return { node, watched, watch, lines };
}

// Guards against load that is shed for garbage.
test("garbage is collected before the limit is lowered", (t) => {
  const { node, watched, watch } = startWatch({ memoryMb: 160 });
  const limit = node.bytesMax;
  watched.garbageMb = 60;
  watch.check(1_000);
  t.is(watched.collections, 1);
  t.is(node.bytesMax, limit);
});

// Guards against a process that the platform ends for its resident memory.
test("the limit is lowered until enough memory is free", (t) => {
  const { node, watched, watch, lines } = startWatch({ memoryMb: 160 });
  const limit = node.bytesMax;
  watched.usedMb = 150;
  watch.check(1_000);
  t.true(node.bytesMax < limit);
  watched.usedMb = 130;
  watch.check(1_100);
  t.true(node.bytesMax < limit);
  watched.usedMb = 110;
  watch.check(1_200);
  t.is(node.bytesMax, limit);
  t.is(lines.filter((line) => /event=memory_pressure/.test(line)).length, 2);
});

// Guards against changed behaviour where the settings name no memory.
test("nothing is collected on a machine whose memory is not known", (t) => {
  const { watched, watch } = startWatch({});
  watched.usedMb = 10_000;
  watch.check(1_000);
  t.is(watched.collections, 0);
});
