import test from "ava";
import { chooseSlice } from "./choose_slice.ts";

const HEAD = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const OPTIONS = { tail: Buffer.alloc(0), bodyBytes: undefined, turnBytes: 1_000 };

test("a slice ends with the first head, also if its end was begun before", (t) => {
  t.is(chooseSlice(Buffer.from(HEAD.repeat(3)), OPTIONS), HEAD.length);
  for (const count of [1, 2, 3]) {
    const tail = Buffer.from(HEAD.slice(-4, -count).slice(-3));
    t.is(chooseSlice(Buffer.from(HEAD.slice(-count) + HEAD), { ...OPTIONS, tail }), count);
  }
});

test("a slice ends with a body of known length and with the turn", (t) => {
  t.is(chooseSlice(Buffer.from(`body${HEAD}`), { ...OPTIONS, bodyBytes: 4 }), 4);
  t.is(chooseSlice(Buffer.from(HEAD), { ...OPTIONS, turnBytes: 5 }), 5);
  t.is(chooseSlice(Buffer.from("GET"), OPTIONS), 3);
});
