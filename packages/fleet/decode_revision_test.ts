import test from "ava";
import { decodeRevision } from "./decode_revision.ts";
import { encodeRevision } from "./encode_revision.ts";

test("a revision is decoded to the position that it was encoded from", (t) => {
  for (const position of [{ era: 0, transaction: 0 }, { era: 2_047, transaction: 2 ** 42 - 1 }]) {
    const revision = encodeRevision(position);
    t.true(Number.isSafeInteger(revision));
    t.deepEqual(decodeRevision(revision), position);
  }
});
