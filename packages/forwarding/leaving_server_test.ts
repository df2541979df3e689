import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { ServerBehaviour } from "./_testing/create_test_host.ts";
import { ROUTE_KIND, SERVER_STATUS } from "./types.ts";

const EVENTS = Array.from({ length: 10 }, (_, at) => `id: ${at + 1}\ndata: x\n\n`);

const stream: ServerBehaviour = async (_req, res) => {
  res.writeHead(200, { Attempt: "a1", Seal: "s" });
  for (const event of EVENTS) {
    if (res.destroyed) return;
    res.write(event);
    await wait(100);
  }
  res.end();
};

test("a stream that is sent is not ended because its server has left and refuses checks", async (t) => {
  const host = await createTestHost([stream], {
    restartedAtMs: [2],
    serverStatus: [SERVER_STATUS.LOST],
    pauseGoalMs: 1_000,
  });
  t.teardown(() => host.close());
  const { body, isComplete } = await host.call({ kind: ROUTE_KIND.STREAMING, deadlineMs: 5_000 });
  t.deepEqual([body, isComplete], [EVENTS.join(""), true]);
});
