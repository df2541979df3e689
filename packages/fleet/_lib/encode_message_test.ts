import test from "ava";
import { LinkError } from "../errors.ts";
import { decodeMessage, encodeMessage } from "./encode_message.ts";

const decode = (line: string) => decodeMessage<unknown>(line.slice(0, -1));

test("messages of any size come out as they went in, each on one line", (t) => {
  for (const length of [0, 100, 5_000, 500_000]) {
    const message = { text: "line\n€".repeat(length) };
    const line = encodeMessage(message);
    t.is(line.indexOf("\n"), line.length - 1);
    t.deepEqual(decode(line), message);
  }
});

test("a large table takes a fraction of its size on the link", (t) => {
  const rows = Array.from({ length: 1_000 }, (_, index) => ({
    key: `route-${index}`,
    value: JSON.stringify({ host: `h${index}.example`, prefix: `/p${index}/`, timeoutMs: 10_000 }),
  }));
  t.true(encodeMessage({ rows }).length < JSON.stringify({ rows }).length / 4);
});

test("a line that is no message is an error of the link", (t) => {
  t.throws(() => decodeMessage("{"), { instanceOf: LinkError });
  t.throws(() => decodeMessage("~AAAA"), { instanceOf: LinkError });
});
