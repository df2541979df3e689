import test from "ava";
import { encodeRevision } from "./encode_revision.ts";

test("a revision of a store without eras is the number of its transaction", (t) => {
  t.is(encodeRevision({ era: 0, transaction: 1_234 }), 1_234);
});

test("each revision of a later era is newer, although its transaction has a lower number", (t) => {
  t.true(
    encodeRevision({ era: 2, transaction: 5 }) > encodeRevision({ era: 1, transaction: 9e11 }),
  );
});

test("a transaction number that would run into the next era, and an era that does not fit, are refused", (t) => {
  t.throws(() => encodeRevision({ era: 0, transaction: 2 ** 42 }), { instanceOf: RangeError });
  t.throws(() => encodeRevision({ era: 2 ** 11, transaction: 0 }), { instanceOf: RangeError });
});
