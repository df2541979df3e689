import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createClock, createTaskGroup } from "@jaypass/kernel";
import type { Logger, Metrics } from "@jaypass/kernel";
import { STALE_SLACK_MS, TABLE_POLL } from "./constants.ts";
import { createStoreFollower } from "./create_store_follower.ts";
import { StoreError } from "./errors.ts";
import { TABLE } from "./types.ts";
import type { RowStore, Table } from "./types.ts";

const LOG: Logger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
  child: () => LOG,
};
const METRICS: Metrics = {
  increment: () => {},
  gauge: () => {},
  timing: () => {},
  counters: () => ({}),
  close: () => Promise.resolve(),
};

/** Follows a store in which a poll of a table fails at once or waits for changes that never come. */
function startFollower(t: ExecutionContext, isFailing: (table: Table) => boolean) {
  const reads: { table: Table; waitMs: number }[] = [];
  const clock = createClock();
  const tasks = createTaskGroup({ onError: (name, err) => t.fail(`${name}: ${err}`) });
  t.teardown(() => tasks.stop());
  const store: Pick<RowStore, "followTable"> = {
    async followTable(table, sinceRevision, { waitMs, signal }) {
      reads.push({ table, waitMs });
      if (isFailing(table)) throw new StoreError("Call failed");
      await wait(waitMs, undefined, { signal });
      return { revision: sinceRevision, rows: [], isWhole: false, sinceRevision };
    },
  };
  const follower = createStoreFollower({
    store: store as RowStore,
    clock,
    random: () => 0.5,
    log: LOG,
    metrics: METRICS,
    tasks,
    shouldFollow: () => true,
    revision: () => 1,
    onBatch: () => {},
    onRead: () => {},
  });
  return { reads, follower };
}

// Guards against a table that goes stale while the poll of another one waits for changes.
test("a failed read of one table does not hold up its next one until another table was read", async (t) => {
  let hasFailed = false;
  const { follower } = startFollower(t, (table) => {
    if (table !== TABLE.SERVERS || hasFailed) return false;
    hasFailed = true;
    return true;
  });
  await wait(STALE_SLACK_MS + TABLE_POLL.servers.waitMs);
  t.true(follower.ageMs(TABLE.SERVERS) < Infinity);
});

test("a table whose reads always fail does not hold up the others", async (t) => {
  const { follower } = startFollower(t, (table) => table === TABLE.HOSTS);
  for (let turn = 0; turn < 8; turn++) {
    await wait(500);
    const { waitMs, delayMs } = TABLE_POLL.servers;
    const ageMs = follower.ageMs(TABLE.SERVERS);
    t.true(ageMs < waitMs + delayMs + STALE_SLACK_MS, `${ageMs} ms in turn ${turn}`);
  }
});

test("while all reads fail, one table after another is tried", async (t) => {
  const { reads } = startFollower(t, () => true);
  await wait(1_500);
  reads.length = 0;
  await wait(4_000);
  // One table alone is retried at most once in half a second.
  t.true(reads.length <= 8, `${reads.length} reads`);
  const tables = [...new Set(reads.map(({ table }) => table))];
  t.deepEqual(tables.sort(), Object.values(TABLE).sort());
});

test("a poll that is overdue does not wait for changes", async (t) => {
  let isDown = true;
  const { reads } = startFollower(t, () => isDown);
  await wait(3_000);
  isDown = false;
  reads.length = 0;
  await wait(2_000);
  t.is(reads[0]?.waitMs, 0);
});
