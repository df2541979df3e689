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

// When all hosts restart, each of them is told the entries of all others.
test("a list of a few hosts is compressed, a message of the same length with a request is not", (t) => {
  const joined = Array.from({ length: 8 }, (_, index) => ({
    host: `host-${index}`,
    linkAddress: `10.0.0.${index}:7000`,
    callerAddress: `10.0.0.${index}:80`,
    dataCentre: "dc-a",
    weight: 0.227,
    incarnation: `${index}f3a9c01b${index}`,
  }));
  const hosts = { type: "hosts", change: { joined, left: [] } };
  const line = encodeMessage(hosts);
  t.true(line.length < JSON.stringify(hosts).length / 2, `${line.length} characters`);
  t.deepEqual(decodeMessage(line.slice(0, -1)), hosts);
  t.true(encodeMessage({ type: "place", joined }).startsWith("{"));
});
