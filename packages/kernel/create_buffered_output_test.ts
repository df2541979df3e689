import { mkdtempSync, openSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { createBufferedOutput } from "./create_buffered_output.ts";

function setUp(maxChars: number) {
  const path = join(mkdtempSync(join(tmpdir(), "jaypass-output-")), "log");
  const output = createBufferedOutput({ fd: openSync(path, "w"), delayMs: 20, maxChars });
  return { output, read: () => readFileSync(path, "utf8") };
}

test("lines are written together and in order after the delay", async (t) => {
  const { output, read } = setUp(1_000);
  output.write("one\n");
  output.write("two\n");
  const before = read();
  await wait(200);
  output.write("three\n");
  await wait(200);
  t.deepEqual([before, read()], ["", "one\ntwo\nthree\n"]);
});

test("lines that exceed the buffer are dropped and counted", (t) => {
  const { output, read } = setUp(10);
  for (const line of ["12345\n", "lost 1\n", "lost 2\n"]) output.write(line);
  output.flushSync();
  t.is(read(), '12345\n{"level":40,"msg":"Log lines dropped","dropped":2}\n');
});

test("flushSync writes buffered lines synchronously", (t) => {
  const { output, read } = setUp(1_000);
  output.write("last\n");
  output.flushSync();
  t.is(read(), "last\n");
});
