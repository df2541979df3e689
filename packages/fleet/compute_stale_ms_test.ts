import test from "ava";
import { computeStaleMs } from "./compute_stale_ms.ts";
import { TABLE_POLL } from "./constants.ts";
import { TABLE } from "./types.ts";

test("a copy is stale later than the usual interval of its polls", (t) => {
  for (const table of Object.values(TABLE)) {
    const { waitMs, delayMs } = TABLE_POLL[table];
    t.true(computeStaleMs(table) > waitMs + delayMs);
  }
});
