import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import type { ExecutionContext } from "ava";
import {
  makeEntry,
  startHost,
  startHosts,
  TIMEOUTS,
  waitUntil,
} from "./_testing/start_fleet_hosts.ts";
import { createMemoryStore } from "./_testing/create_memory_store.ts";
import { TABLE } from "./types.ts";
import type { HostEntry } from "./types.ts";

const nest = (levels: number) => "[".repeat(levels) + "]".repeat(levels);

/** Opens a connection to a host's link port, writes lines and keeps it open for a while. */
async function sendLines(t: ExecutionContext, { linkAddress }: HostEntry, lines: string[]) {
  const [host, port] = linkAddress.split(":");
  const socket = connect({ host, port: Number(port) });
  t.teardown(() => socket.destroy());
  socket.on("error", () => {});
  await once(socket, "connect");
  const closed = once(socket, "close");
  for (const line of lines) socket.write(`${line}\n`);
  await Promise.race([closed, wait(500)]);
  return socket;
}

const hello = (entry: object, extra = "") =>
  JSON.stringify({ type: "hello", entry, isDraining: false, reports: [], revisions: {} })
    .replace('"reports"', `${extra}"reports"`);

const rows = (row: string, revision = "1") =>
  `{"type":"rows","table":"servers","batch":{"revision":${revision},"isWhole":false,"rows":[${row}]}}`;

/** Lines of a program that is no host, or of a host of another version. */
const ODD_LINES: Record<string, (entry: HostEntry) => string[]> = {
  "null": () => ["null"],
  "a number": () => ["7"],
  "HTTP": () => ["GET / HTTP/1.1", "Host: a", ""],
  "a deeply nested array": () => [nest(1_000_000)],
  "a compressed line that is none": () => ["~AAAA"],
  "an empty hello": () => ['{"type":"hello"}'],
  "a hello with null as a report": (entry) => [hello(entry).replace("[]", "[null]")],
  "a hello with a deeply nested field": (entry) => [
    hello(entry).replace('"weight"', `"more":${nest(100_000)},"weight"`),
    '{"type":"ping"}',
  ],
  "a hello with a port out of range": (entry) => [
    hello({ ...entry, linkAddress: "127.0.0.1:99999" }),
    '{"type":"ping"}',
  ],
  "a row that is null": (entry) => [hello(entry), rows("null")],
  "a row with a deeply nested field": (entry) => [
    hello(entry),
    rows(`{"key":"odd","value":"{}","version":3,"more":${nest(100_000)}}`, "3"),
  ],
  "a row with a text as version": (entry) => [
    hello(entry),
    rows('{"key":"s1","value":"{}","version":"z"}'),
  ],
  "a table that is not followed": (entry) => [
    hello(entry),
    '{"type":"want","table":"__proto__"}',
  ],
  "a revision of 1e300": (entry) => [hello(entry), rows("", "1e300")],
};

for (const [name, makeLines] of Object.entries(ODD_LINES)) {
  test(`a peer that sends ${name} does not disturb the fleet`, async (t) => {
    const { store, hosts, hub } = await startHosts(t, 3);
    const odd = { ...makeEntry(9), host: "odd" };
    const socket = await sendLines(t, hub.entry, makeLines(odd));
    socket.destroy();
    await wait(700);
    store.write(TABLE.SERVERS, "s1", "sound");
    const hasServer = ({ fleet }: typeof hub) =>
      fleet.rows(TABLE.SERVERS).some(({ key, value }) => key === "s1" && value === "sound");
    await waitUntil(() => hosts.every(hasServer));
    await waitUntil(() => hosts.every(({ fleet }) => fleet.liveHosts().length === 3));
    // Links fail within 1 s when their hub sends nothing.
    await wait(1_500);
    t.deepEqual(hosts.map(({ fleet }) => fleet.liveHosts().length), [3, 3, 3]);
    const answers = await Promise.all(hosts.map(({ fleet }) => fleet.place("job", TIMEOUTS)));
    t.deepEqual(answers.map((answer) => answer?.by), hosts.map(() => hub.entry.host));
  });
}

/** Lines of a program at the address of a hub. */
const ODD_HUB_LINES: Record<string, string[]> = {
  "null": ["null"],
  "a view of texts": ['{"type":"view","ageMs":"0","ownAgeMs":"0","recoveredAgoMs":"x"}'],
  "a host list of null": ['{"type":"hosts","change":{"joined":[null],"left":[]}}'],
  "a patch of a negative range": [
    '{"type":"rows","table":"servers","batch":{"revision":1,"isWhole":false,"rows":[]},"patches":[{"key":"s1","version":9,"baseVersion":1,"patch":[[-5,1e9]]}]}',
  ],
  "a decision without a call": ['{"type":"placed"}'],
};
for (const [name, lines] of Object.entries(ODD_HUB_LINES)) {
  test(`a hub that sends ${name} is left, and the host serves by itself`, async (t) => {
    const sockets: Socket[] = [];
    const server = createServer((socket) => {
      sockets.push(socket.resume());
      socket.on("error", () => {});
      for (const line of lines) socket.write(`${line}\n`);
    });
    const odd = { ...makeEntry(9), host: "odd", weight: 9 };
    const [host, port] = odd.linkAddress.split(":");
    server.listen(Number(port), host);
    t.teardown(() => {
      for (const socket of sockets) socket.destroy();
      server.close();
    });
    const store = createMemoryStore();
    store.write(TABLE.HOSTS, "odd", JSON.stringify(odd));
    const sound = await startHost(t, store, makeEntry(1));
    await waitUntil(() => sockets.some(({ destroyed }) => destroyed));
    store.write(TABLE.SERVERS, "s1", "sound");
    await waitUntil(() => sound.fleet.rows(TABLE.SERVERS).length === 1);
    const answer = await sound.fleet.place("job", { ...TIMEOUTS, answerMs: 2_000 });
    t.is(answer?.by, sound.entry.host);
  });
}
