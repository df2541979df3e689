import test from "ava";
import { createClock } from "@jaypass/kernel";
import { TABLE } from "../types.ts";
import { createMemoryStore } from "./create_memory_store.ts";

/** Duration of each turn of the slowed event loop. */
const TURN_MS = 50;

const LONG_POLL_MS = 200;

/** Occupies the event loop, as on a machine with too few free cores. */
function blockEventLoop(): NodeJS.Timeout {
  const clock = createClock();
  return setInterval(() => {
    const endMs = clock.nowMs() + TURN_MS;
    while (clock.nowMs() < endMs);
  }, 0);
}

test("a long poll ends after its wait, however slow the event loop is", async (t) => {
  const clock = createClock();
  const store = createMemoryStore().storeFor("h1");
  const { revision } = await store.readTable(TABLE.SERVERS, { timeoutMs: 1_000 });
  const blocking = blockEventLoop();
  t.teardown(() => clearInterval(blocking));
  const startMs = clock.nowMs();
  const batch = await store.followTable(TABLE.SERVERS, revision, {
    timeoutMs: 1_000,
    waitMs: LONG_POLL_MS,
  });
  const waitedMs = clock.nowMs() - startMs;
  t.deepEqual(batch.rows, []);
  t.true(waitedMs >= LONG_POLL_MS && waitedMs < LONG_POLL_MS + 6 * TURN_MS, `${waitedMs} ms`);
});

test("a long poll ends as soon as a row of its table changes", async (t) => {
  const store = createMemoryStore();
  const host = store.storeFor("h1");
  const { revision } = await host.readTable(TABLE.SERVERS, { timeoutMs: 1_000 });
  const polling = host.followTable(TABLE.SERVERS, revision, { timeoutMs: 9_000, waitMs: 9_000 });
  store.write(TABLE.HOSTS, "h2", "{}");
  store.write(TABLE.SERVERS, "s1", "{}");
  t.deepEqual((await polling).rows.map(({ key }) => key), ["s1"]);
});
