import test from "ava";
import { limitLogRate } from "./limit_log_rate.ts";
import type { Logger } from "./types.ts";

test("lines below warning level are limited per second, and dropped ones are counted", (t) => {
  const lines: string[] = [];
  const note = (level: string) => (fields: object, message: string) =>
    void lines.push(`${level} ${message} ${JSON.stringify(fields)}`);
  const inner: Logger = {
    debug: note("debug"),
    info: note("info"),
    warn: note("warn"),
    error: note("error"),
    child: () => inner,
  };
  let nowMs = 0;
  const log = limitLogRate(inner, {
    clock: { nowMs: () => nowMs, wallMs: () => nowMs },
    linesPerS: 2,
  });
  for (let count = 0; count < 4; count++) log.info({ count }, "Line");
  log.error({}, "Kept");
  nowMs = 1_000;
  log.child({}).info({}, "Later");
  t.snapshot(lines);
});
