import test from "ava";
import { setTimeout as wait } from "node:timers/promises";
import { createTestDocument, testServer } from "./_testing/create_test_document.ts";
import { createTestSystem, testRequest } from "./_testing/create_test_system.ts";

const never = new AbortController().signal;

test("a request that crashed two servers is refused by every host until an operator releases it", async (t) => {
  const servers = { e0: testServer(), e1: testServer(), e2: testServer() };
  const system = createTestSystem({ hostCount: 3, document: createTestDocument(servers) });
  t.teardown(() => system.stop());
  const exclude: string[] = [];
  for (let n = 0; n < 2; n++) {
    const req = testRequest(`poison${n}`, { fingerprint: "poison", exclude });
    const grant = await system.hosts[n]!.acquire(req, never);
    exclude.push(grant.servers[0]!.id);
    system.hosts[n]!.release(grant, { outcome: "server_died" });
  }
  for (const host of system.hosts) {
    const again = host.acquire(testRequest("again", { fingerprint: "poison" }), never);
    await t.throwsAsync(again, { message: /crashed two servers/ });
    t.deepEqual(host.quarantine.list().map(({ fingerprint }) => fingerprint), ["poison"]);
  }
  while (!system.table.rows.has("quarantine/poison")) await wait(10);
  await system.hosts[2]!.quarantine.release("poison");
  t.false(system.table.rows.has("quarantine/poison"));
  t.deepEqual(system.hosts[0]!.quarantine.list(), []);
});

test("a host that resumed a stream can release it without ending it for the host that sent it", async (t) => {
  const document = createTestDocument({ e0: testServer({ coldLimit: 1, warmLimit: 1 }) });
  const system = createTestSystem({ hostCount: 2, document });
  t.teardown(() => system.stop());
  const [sender, reader] = system.hosts as [typeof system.hosts[0], typeof system.hosts[0]];
  const grant = await sender.acquire(testRequest("a"), never);
  const found = await reader.find("a", never);
  t.is(found?.grantId, grant.grantId);
  reader.release(found!, { outcome: "cancelled" });
  const blocked = reader.acquire(testRequest("b", { firstTokenRemainingMs: 1_000 }), never);
  await t.throwsAsync(blocked);
  t.deepEqual(system.engines.get("e0")!.cancelled, []);
  sender.release(grant, { outcome: "done" });
  t.truthy(await reader.acquire(testRequest("c"), never));
});
