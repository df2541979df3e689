import test from "ava";
import { LinkError } from "../errors.ts";
import { decodeMessage, encodeMessage } from "./encode_message.ts";

const decode = (line: string) => decodeMessage(line.slice(0, -1));

test("messages of any size are encoded as one line and decoded unchanged", (t) => {
  for (const length of [0, 100, 5_000, 500_000]) {
    const message = { text: "line\n€".repeat(length) };
    const line = encodeMessage(message);
    t.is(line.indexOf("\n"), line.length - 1);
    t.deepEqual(decode(line), message);
  }
});

test("a large table is compressed to less than a quarter", (t) => {
  const rows = Array.from({ length: 1_000 }, (_, index) => ({
    key: `route-${index}`,
    value: JSON.stringify({ host: `h${index}.example`, prefix: `/p${index}/`, timeoutMs: 10_000 }),
  }));
  t.true(encodeMessage({ rows }).length < JSON.stringify({ rows }).length / 4);
});

test("a line that is not a valid message throws a link error", (t) => {
  t.throws(() => decodeMessage("{"), { instanceOf: LinkError });
  t.throws(() => decodeMessage("~AAAA"), { instanceOf: LinkError });
});
