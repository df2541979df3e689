import test from "ava";
import { expireGrants } from "./_lib/expire_grants.ts";
import { findGrantByRequest } from "./_lib/find_grant_by_request.ts";
import { handleReport } from "./_lib/handle_report.ts";
import { reconcileServer } from "./_lib/reconcile_server.ts";
import { createTestScheduler } from "./_testing/create_test_scheduler.ts";
import { testServer } from "./_testing/create_test_document.ts";

const OWNER = { host: "h0", incarnation: "1", address: "h0" };

function reconcile(
  test: ReturnType<typeof createTestScheduler>,
  requestIds: string[],
  options = {},
) {
  const server = test.scheduler.pool.servers.get("e0")!;
  return reconcileServer(
    server,
    requestIds.map((requestId) => ({ requestId, tokens: 600, fencing: 1, state: "running" })),
    {
      nowMs: test.clock.nowMs(),
      askedMs: test.clock.nowMs(),
      longestRequestMs: 60_000,
      endedMs: test.scheduler.pool.endedMs.get("e0") ?? new Map(),
      isOwned: () => false,
      ...options,
    },
  );
}

test("a grant whose answer was lost is freed by a report after its dispatch window, not before", (t) => {
  const { scheduler, clock, acquire } = createTestScheduler({ e0: testServer() });
  acquire("a");
  const grantedMs = clock.nowMs();
  const report = (atMs: number) =>
    handleReport(scheduler.pool, OWNER, {
      pool: "small@gent",
      mark: { epoch: "now", atMs },
      held: [],
      ended: [],
    }, "now");
  clock.advance(5_000);
  report(grantedMs + 999);
  t.is(scheduler.pool.grants.size, 1);
  report(grantedMs + 1_000);
  t.is(scheduler.pool.grants.size, 0);
  t.is(scheduler.pool.servers.get("e0")!.grantedTokens, 0);
});

test("a report with the mark of an earlier lease term frees no grant", (t) => {
  const { scheduler, clock, acquire } = createTestScheduler({ e0: testServer() });
  acquire("a");
  clock.advance(10_000);
  handleReport(scheduler.pool, OWNER, {
    pool: "small@gent",
    mark: { epoch: "earlier", atMs: clock.nowMs() },
    held: [],
    ended: [],
  }, "now");
  t.is(scheduler.pool.grants.size, 1);
});

test("a finished request that an engine still lists is cancelled on it, and a running one is not", (t) => {
  const test = createTestScheduler({ e0: testServer() });
  test.acquire("done");
  test.acquire("live");
  test.scheduler.end(test.grant("done")!.grantId, { outcome: "done" });
  test.clock.advance(1);
  t.deepEqual(reconcile(test, ["done", "live"]), ["done"]);
});

test("a request without a known owner is kept until its longest possible deadline", (t) => {
  const test = createTestScheduler({ e0: testServer() });
  t.deepEqual(reconcile(test, ["unknown"]), []);
  t.is(test.scheduler.pool.servers.get("e0")!.foreign.size, 1);
  test.clock.advance(59_999);
  t.deepEqual(reconcile(test, ["unknown"]), []);
  test.clock.advance(1);
  t.deepEqual(reconcile(test, ["unknown"], { isOwned: () => true }), []);
  t.deepEqual(reconcile(test, ["unknown"]), ["unknown"]);
});

test("grants of a silent host are freed when a newer process runs at its address, not before", async (t) => {
  const { scheduler, clock, acquire } = createTestScheduler({ e0: testServer(), e1: testServer() });
  const { pool } = scheduler;
  acquire("a");
  acquire("set", { promptTokens: 600_000, firstTokenRemainingMs: 90_000, remainingMs: 90_000 });
  t.is(pool.grants.size, 2);
  const expire = (incarnation: string | undefined) =>
    expireGrants(pool, {
      seenMs: new Map([["h0", 1_000_000]]),
      startedMs: 1_000_000,
      askIncarnation: () =>
        Promise.resolve(incarnation === undefined ? undefined : { host: "h0", incarnation }),
    });
  clock.advance(7_000);
  await expire(undefined);
  await expire("1");
  t.is(pool.grants.size, 2);
  await expire("2");
  t.is(pool.grants.size, 0);
  const foreign = [...pool.servers.values()].flatMap((server) => [...server.foreign.values()]);
  t.is(foreign.length, 3);
  t.true(foreign.every(({ isReleased }) => isReleased));
});

test("a waiting request gets the engines of a restarted host's request once they are free", async (t) => {
  const test = createTestScheduler({ e0: testServer(), e1: testServer() });
  const { scheduler, clock } = test;
  const size = { promptTokens: 600_000, firstTokenRemainingMs: 200_000, remainingMs: 400_000 };
  test.acquire("a", size);
  test.acquire("b", size);
  clock.advance(7_000);
  test.acquire("b", size);
  await expireGrants(scheduler.pool, {
    seenMs: new Map(),
    startedMs: 0,
    askIncarnation: () => Promise.resolve({ host: "h0", incarnation: "2" }),
  });
  scheduler.run();
  // The engines have not confirmed the end, so the memory still counts as used.
  t.is(test.grant("b"), undefined);
  for (const server of scheduler.pool.servers.values()) {
    server.foreign.clear();
    server.foreignTokens = 0;
  }
  scheduler.run();
  t.is(test.grant("b")!.servers.length, 2);
});

test("the grant of a request is found by the ids of the request and its attempt, and by no other id", (t) => {
  const { scheduler, acquire } = createTestScheduler({ e0: testServer() });
  acquire("r1.0");
  const found = ["r1", "r1.0", "r", "r1.00"].map((id) =>
    findGrantByRequest(scheduler.pool, id) !== undefined
  );
  t.deepEqual(found, [true, true, false, false]);
});
