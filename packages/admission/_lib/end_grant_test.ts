import test from "ava";
import { createTestScheduler } from "../_testing/create_test_scheduler.ts";
import { testServer } from "../_testing/create_test_document.ts";
import { GRANT_OUTCOME } from "../types.ts";

test("a refusal because of a restart marks the server as cold and makes no request a suspect", (t) => {
  const { scheduler, acquire, grant } = createTestScheduler({ e0: testServer({ coldLimit: 1 }) });
  const ids = ["r1", "r2", "r3"];
  for (const id of ids) acquire(id, { fingerprint: id });
  const grants = ids.map((id) => grant(id));
  t.deepEqual(grants.map((granted) => granted?.servers[0]?.restartCount), [1, 1, 1]);
  for (const granted of grants) {
    scheduler.end(granted!.grantId, { outcome: GRANT_OUTCOME.SERVER_RESTARTED });
  }
  const server = scheduler.pool.servers.get("e0")!;
  t.like(server, { warmth: "cold", limit: 1, isKnown: false });
  t.deepEqual(scheduler.pool.suspects.list(), []);
});

test("a late refusal because of a restart does not mark the restarted server as cold again", (t) => {
  const { scheduler, acquire, grant } = createTestScheduler({ e0: testServer() });
  for (const id of ["r1", "r2"]) acquire(id, { fingerprint: id });
  scheduler.end(grant("r1")!.grantId, { outcome: GRANT_OUTCOME.SERVER_RESTARTED });
  scheduler.observe("e0", { restartCount: 2, warm: true, ageMs: 0, models: {} });
  const server = scheduler.pool.servers.get("e0")!;
  server.warmth = "warm";
  scheduler.end(grant("r2")!.grantId, { outcome: GRANT_OUTCOME.SERVER_RESTARTED });
  t.is(server.warmth, "warm");
});
