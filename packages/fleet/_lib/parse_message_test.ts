import test from "ava";
import fc from "fast-check";
import { DecodeError } from "@jaypass/kernel";
import type { HubMessage, MemberMessage } from "../messages.ts";
import { decodeMessage, encodeMessage } from "./encode_message.ts";
import { parseHubMessage, parseMemberMessage } from "./parse_message.ts";

const parseText = (value: unknown): string => {
  if (typeof value !== "string") throw new DecodeError("Value is no text");
  return value;
};
const PARSERS = { parseJob: parseText, parseDecision: parseText, parseReport: parseText };

const ENTRY = {
  host: "h1",
  linkAddress: "10.0.0.1:7000",
  callerAddress: "10.0.0.1:80",
  dataCentre: "dc-a",
  weight: 0.5,
  incarnation: "1",
};
const BATCH = {
  revision: 9,
  rows: [{ key: "a", value: "1", version: 9 }, { key: "b", value: undefined, version: 8 }, {
    key: "c",
    value: undefined,
    version: 7,
    problem: "odd",
  }],
  isWhole: false,
  sinceRevision: 5,
};

const MEMBER_MESSAGES: MemberMessage<string, string>[] = [
  { type: "hello", entry: ENTRY, isDraining: false, reports: ["r"], revisions: { servers: 4 } },
  { type: "ping", isDraining: true },
  { type: "place", call: 3, job: "j" },
  { type: "report", report: "r" },
  { type: "rows", table: "servers", batch: BATCH },
  { type: "want", table: "hosts", revision: undefined },
  { type: "fresh" },
  { type: "fresh", table: "operators", span: { since: 3, until: 7 } },
  { type: "invite", hosts: { ...BATCH, isWhole: true, sinceRevision: undefined } },
];
const HUB_MESSAGES: HubMessage<string>[] = [
  {
    type: "rows",
    table: "operators",
    batch: BATCH,
    patches: [{ key: "c", version: 9, baseVersion: 8, patch: [[0, 2], "text"] }],
  },
  { type: "view", ageMs: 0, ownAgeMs: Number.MAX_SAFE_INTEGER, recoveredAgoMs: null },
  { type: "view", ageMs: 1, ownAgeMs: 2, recoveredAgoMs: 3 },
  {
    type: "view",
    ageMs: 1,
    ownAgeMs: 2,
    otherAgesMs: { operators: 4, hosts: 5 },
    otherOwnAgesMs: { operators: 4, hosts: 6 },
    recoveredAgoMs: 3,
  },
  { type: "hosts", change: { joined: [ENTRY], left: ["h2"] } },
  { type: "want", table: "servers", revision: 4 },
  { type: "waiting", call: 1 },
  { type: "placed", call: 1, decision: "d" },
];

const send = (message: unknown) => decodeMessage(encodeMessage(message).slice(0, -1));

test("each message of a member and of a hub is parsed as it was sent", (t) => {
  t.deepEqual(
    MEMBER_MESSAGES.map((message) => parseMemberMessage(send(message), PARSERS)),
    MEMBER_MESSAGES,
  );
  t.deepEqual(HUB_MESSAGES.map((message) => parseHubMessage(send(message), PARSERS)), HUB_MESSAGES);
});

test("a message with a type of a newer version is skipped", (t) => {
  t.is(parseMemberMessage({ type: "later", any: 1 }, PARSERS), undefined);
  t.is(parseHubMessage({ type: "later", any: 1 }, PARSERS), undefined);
});

test("a parsed message can be passed on, however deeply its unknown fields are nested", (t) => {
  const nested = JSON.parse(`${"[".repeat(100_000)}${"]".repeat(100_000)}`);
  const [hello, , , , rows] = MEMBER_MESSAGES;
  const parsed = [
    parseMemberMessage({ ...hello, nested, entry: { ...ENTRY, nested } }, PARSERS),
    parseMemberMessage({
      ...rows,
      batch: { ...BATCH, rows: [{ key: "a", version: 1, nested }] },
    }, PARSERS),
  ];
  t.notThrows(() => JSON.stringify(parsed));
});

/** Replaces one value somewhere in a message. */
const changedMessage = (messages: readonly object[]) =>
  fc.tuple(
    fc.constantFrom(...messages),
    fc.array(fc.nat(6), { minLength: 1, maxLength: 4 }),
    fc.oneof(
      fc.jsonValue(),
      fc.constantFrom(-1, 1e300, -0, 0.5, Number.MAX_SAFE_INTEGER + 1, "__proto__", "constructor"),
    ),
  ).map(([message, path, value]) => {
    const copy = JSON.parse(JSON.stringify(message));
    let target = copy;
    for (const [depth, at] of path.entries()) {
      const keys = Object.keys(target);
      const key = keys[at % keys.length];
      if (key === undefined) break;
      const next = target[key];
      if (depth === path.length - 1 || typeof next !== "object" || next === null) {
        target[key] = value;
        break;
      }
      target = next;
    }
    return copy as unknown;
  });

test("an arbitrary message is parsed or refused with a DecodeError, and can be passed on", (t) => {
  const messages = fc.oneof(
    fc.jsonValue(),
    changedMessage(MEMBER_MESSAGES),
    changedMessage(HUB_MESSAGES),
  );
  fc.assert(
    fc.property(messages, (message) => {
      for (const parse of [parseMemberMessage, parseHubMessage]) {
        try {
          JSON.stringify(parse(message, PARSERS));
        } catch (err) {
          if (!(err instanceof DecodeError)) throw err;
        }
      }
    }),
    { numRuns: 2_000 },
  );
  t.pass();
});
