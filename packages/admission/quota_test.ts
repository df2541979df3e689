import test from "ava";
import { setTimeout as wait } from "node:timers/promises";
import { quotaShard } from "./_lib/quota_client.ts";
import type { Grant } from "./mod.ts";
import { createTestDocument, testServer } from "./_testing/create_test_document.ts";
import { createTestSystem, testRequest } from "./_testing/create_test_system.ts";

const never = new AbortController().signal;

function quotaSystem(maxConcurrent: number, hostCount: number) {
  const document = createTestDocument({
    e0: testServer({ warmLimit: 500 }),
    e1: testServer({ warmLimit: 500 }),
  });
  document.workspaces.museum!.maxConcurrent = maxConcurrent;
  return createTestSystem({ hostCount, document });
}

test("a workspace's limit holds over all hosts and is used in full", async (t) => {
  const system = quotaSystem(5, 6);
  t.teardown(() => system.stop());
  let running = 0;
  let most = 0;
  let served = 0;
  await Promise.all(system.hosts.map(async (host, h) => {
    for (let n = 0; n < 5; n++) {
      let grant: Grant;
      try {
        grant = await host.acquire(testRequest(`r${h}/${n}`), never);
      } catch (err) {
        t.is((err as { reason?: string }).reason, "workspace_limit");
        continue;
      }
      served += 1;
      most = Math.max(most, ++running);
      await wait(40);
      running -= 1;
      host.release(grant, { outcome: "done", totalMs: 40 });
    }
  }));
  t.true(most <= 5, `${most} at once`);
  t.true(served >= 5, `${served} served`);
});

test("a new coordinator of a quota shard counts slots that hosts still hold", async (t) => {
  const system = quotaSystem(4, 4);
  t.teardown(() => system.stop());
  const grants: [number, Grant][] = [];
  for (let h = 0; h < 2; h++) {
    for (let n = 0; n < 2; n++) {
      grants.push([h, await system.hosts[h]!.acquire(testRequest(`r${h}${n}`), never)]);
    }
  }
  const shard = quotaShard("museum");
  const next = system.leases.candidates(shard).find((id) => id !== system.leases.holder(shard))!;
  system.leases.moveTo(shard, next, "none");
  await wait(400);
  const late = system.hosts[3]!.acquire(testRequest("late"), never);
  await t.throwsAsync(late, { message: /at its limit/ });
  const [host, grant] = grants[0]!;
  system.hosts[host]!.release(grant, { outcome: "done" });
  t.truthy(await system.hosts[3]!.acquire(testRequest("later"), never));
});
