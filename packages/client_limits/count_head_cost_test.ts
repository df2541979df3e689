import test from "ava";
import { HEADER_LINE_COST_BYTES, REQUEST_COST_BYTES } from "./constants.ts";
import { countHeadCost } from "./count_head_cost.ts";

// A budget of text alone let legal heads of 3,000 short lines take a hundred times as much.
test("a line costs what it takes beside its text", (t) => {
  const req = { method: "GET", url: "/", rawHeaders: ["a", "b", "c", "d"] };
  const text = "GET / HTTP/1.1\r\na: b\r\nc: d\r\n".length;
  t.is(countHeadCost(req), REQUEST_COST_BYTES + text + 2 * HEADER_LINE_COST_BYTES);
});
