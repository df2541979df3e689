import test from "ava";
import { HEADER_LINE_COST_BYTES } from "../constants.ts";
import { createHeadMemory } from "./create_head_memory.ts";

// Guards against heads and trailers of many short lines, which cost far more than their bytes.
test("lines of a head and of trailers count at their cost until each has ended", (t) => {
  let heldBytes = 0;
  const head = createHeadMemory({
    chargeHead: (bytes) => heldBytes += bytes,
    releaseHead: (bytes) => heldBytes -= bytes,
  });
  head.count(Buffer.from("a:b\r\na:"));
  head.count(Buffer.from("b\r\n"));
  t.is(head.bytes(), 10);
  t.is(heldBytes, 10 + 2 * HEADER_LINE_COST_BYTES);
  head.endHead();
  t.deepEqual([head.bytes(), heldBytes], [0, 0]);
  head.countTrailers(["a", "b"]);
  head.countTrailers(["a", "b", "a", "b"]);
  t.is(heldBytes, 4 + 2 * HEADER_LINE_COST_BYTES);
  // The parser hands over no lines once the trailers have ended.
  head.countTrailers([]);
  t.is(heldBytes, 4 + 2 * HEADER_LINE_COST_BYTES);
  head.endTrailers();
  t.is(heldBytes, 0);
});
