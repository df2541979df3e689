import { connect } from "node:net";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createMemoryStore } from "./_testing/create_memory_store.ts";
import { makeEntry, startHost, waitUntil } from "./_testing/start_fleet_hosts.ts";
import type { TestHost } from "./_testing/start_fleet_hosts.ts";

/** Joins a hub over a bare connection; returns the types of the messages that it gets. */
function join(t: ExecutionContext, hub: TestHost, hello: object): Set<string> {
  const types = new Set<string>();
  const [ip, port] = hub.entry.linkAddress.split(":");
  const socket = connect(Number(port), ip);
  t.teardown(() => socket.destroy());
  const entry = { ...makeEntry(1), linkAddress: "127.0.0.1:1" };
  const message = { type: "hello", entry, isDraining: false, reports: [], revisions: {}, ...hello };
  socket.write(`${JSON.stringify(message)}\n`);
  socket.setEncoding("utf8").on("data", (text: string) => {
    for (const [, type = ""] of text.matchAll(/"type":"(\w+)"/g)) types.add(type);
  });
  return types;
}

// A host of an earlier release skips messages of unknown types, and would count its hub as silent.
test("only members that understand short views get them", async (t) => {
  const hub = await startHost(t, createMemoryStore(), makeEntry(0));
  const earlier = join(t, hub, {});
  await waitUntil(() => earlier.has("view"));
  const present = join(t, hub, { understands: ["ages", "later"] });
  await waitUntil(() => present.has("ages"));
  t.false(present.has("view"));
  t.false(earlier.has("ages"));
});
