import test from "ava";
import fc from "fast-check";
import { GRANT_OUTCOME } from "./mod.ts";
import type { GrantOutcome } from "./mod.ts";
import { reconcileServer } from "./_lib/reconcile_server.ts";
import { removeForeign } from "./_lib/server_capacity.ts";
import { createTestScheduler } from "./_testing/create_test_scheduler.ts";
import { testServer } from "./_testing/create_test_document.ts";

test("a restarted engine gets its cold limit at once, which doubles after successful requests", (t) => {
  const { scheduler, acquire, grant, clock } = createTestScheduler({ e0: testServer() });
  const server = scheduler.pool.servers.get("e0")!;
  t.is(server.limit, 16);
  clock.advance(10);
  scheduler.observe("e0", { restartCount: 2, warm: true, ageMs: 0, models: {} });
  t.is(server.limit, 4);
  t.is(acquire("early"), undefined);
  scheduler.abandon("early");
  server.isKnown = true;
  for (let n = 0; n < 4; n++) {
    acquire(`r${n}`);
    scheduler.end(grant(`r${n}`)!.grantId, { outcome: "done", firstTokenMs: 50, totalMs: 80 });
    clock.advance(100);
  }
  t.is(server.limit, 8);
  scheduler.recordRefusedConnection("e0");
  t.is(server.limit, 4);
});

test("a request that would miss its deadline because of its lane is refused at once", (t) => {
  const { acquire } = createTestScheduler({ e0: testServer({ warmLimit: 1 }) });
  t.is(acquire("long", { promptTokens: 200_000, firstTokenRemainingMs: 60_000 })?.type, "granted");
  const decision = acquire("late", { promptTokens: 150_000, firstTokenRemainingMs: 10_000 });
  t.like(decision, { type: "refused", reason: "deadline_unreachable" });
});

test("short prompts avoid the engine of a long one, and long prompts stay within their share", (t) => {
  const servers = { e0: testServer(), e1: testServer(), e2: testServer() };
  const { acquire, grant, clock } = createTestScheduler(servers);
  for (let n = 0; n < 40; n++) {
    acquire(`warm${n}`, { promptTokens: 8_000 });
    clock.advance(500);
  }
  acquire("long", { promptTokens: 150_000, firstTokenRemainingMs: 60_000 });
  acquire("long2", { promptTokens: 150_000, firstTokenRemainingMs: 60_000 });
  t.is(grant("long2"), undefined);
  acquire("short");
  t.not(grant("short")!.servers[0]!.id, grant("long")!.servers[0]!.id);
});

test("an overdue long request is served although short ones keep arriving", (t) => {
  const { scheduler, acquire, grant, clock } = createTestScheduler({
    e0: testServer({ memoryTokens: 160_000, warmLimit: 64 }),
  });
  const ends: { grantId: string; atMs: number }[] = [];
  let served: number | undefined;
  for (let n = 0; n < 400 && served === undefined; n++) {
    acquire(`s${n}`, { promptTokens: 4_000, maxTokens: 1_000, firstTokenRemainingMs: 60_000 });
    acquire("long", { promptTokens: 140_000, firstTokenRemainingMs: 60_000 });
    for (const [grantId, record] of scheduler.pool.grants) {
      if (!ends.some((end) => end.grantId === grantId) && record.grant.requestId !== "long") {
        ends.push({ grantId, atMs: clock.nowMs() + 12_000 });
      }
    }
    clock.advance(400);
    for (const end of ends) {
      if (end.atMs <= clock.nowMs()) scheduler.end(end.grantId, { outcome: "done" });
    }
    if (grant("long") !== undefined) served = n;
  }
  t.not(served, undefined);
});

test("two prompts that need both engines are granted one after the other", (t) => {
  const servers = { e0: testServer(), e1: testServer() };
  const { scheduler, acquire, grant } = createTestScheduler(servers);
  const size = { promptTokens: 600_000, firstTokenRemainingMs: 200_000, remainingMs: 400_000 };
  acquire("a", size);
  acquire("b", size);
  t.is(grant("a")!.servers.length, 2);
  t.is(grant("b"), undefined);
  scheduler.end(grant("a")!.grantId, { outcome: "done" });
  t.is(grant("b")!.servers.length, 2);
});

test("a request whose host no longer calls loses its claim on engines", (t) => {
  const servers = { e0: testServer(), e1: testServer() };
  const { scheduler, acquire, grant, clock } = createTestScheduler(servers);
  const size = { promptTokens: 600_000, firstTokenRemainingMs: 200_000, remainingMs: 400_000 };
  acquire("a", size);
  acquire("b", size);
  acquire("c", size);
  scheduler.detach("b");
  clock.advance(2_000);
  scheduler.end(grant("a")!.grantId, { outcome: GRANT_OUTCOME.DONE });
  t.is(grant("b"), undefined);
  t.is(grant("c")!.servers.length, 2);
});

test("an engine that leaves gets no grants once the configuration is applied, and returns cold", (t) => {
  const cfg = testServer();
  const { scheduler, acquire, grant } = createTestScheduler({ e0: cfg, e1: cfg });
  const model = { prefillTokensPerSecond: 10_000 } as never;
  scheduler.configure(
    [{ id: "e0", cfg, isOpen: false }, { id: "e1", cfg, isOpen: true }],
    model,
  );
  for (let n = 0; n < 3; n++) t.is(acquire(`r${n}`)?.type, "granted");
  for (let n = 0; n < 3; n++) t.is(grant(`r${n}`)!.servers[0]!.id, "e1");
  scheduler.configure(
    [{ id: "e0", cfg, isOpen: true }, { id: "e1", cfg, isOpen: true }],
    model,
  );
  t.is(scheduler.pool.servers.get("e0")!.limit, cfg.coldLimit);
});

const COMMANDS = fc.array(
  fc.oneof(
    {
      weight: 12,
      arbitrary: fc.record({
        kind: fc.constant("acquire"),
        tokens: fc.oneof(
          { weight: 5, arbitrary: fc.integer({ min: 1, max: 100 }) },
          fc.integer({ min: 1, max: 900_000 }),
        ),
      }),
    },
    fc.record({
      kind: fc.constant("end"),
      index: fc.nat(4),
      outcome: fc.constantFrom(...Object.values(GRANT_OUTCOME)),
    }),
    fc.record({ kind: fc.constant("advance"), ms: fc.integer({ min: 1, max: 5_000 }) }),
    fc.record({ kind: fc.constant("restart"), server: fc.nat(2) }),
    fc.record({ kind: fc.constant("share"), isFull: fc.boolean() }),
    fc.record({ kind: fc.constant("abandon"), index: fc.nat(50) }),
    fc.record({ kind: fc.constant("poll"), server: fc.nat(2) }),
  ),
  { maxLength: 200 },
);

test("property: running requests stay within slots and memory, and all slots and memory are freed in the end", (t) => {
  fc.assert(
    fc.property(COMMANDS, (commands) => {
      const servers = { e0: testServer(), e1: testServer({ warmLimit: 3 }), e2: testServer() };
      const { scheduler, acquire, clock, lease } = createTestScheduler(servers);
      const { pool } = scheduler;
      // Requests that each engine actually runs; after an uncertain end a request goes on running.
      const actual = new Map(Object.keys(servers).map((id) => [id, new Map<string, number>()]));
      const end = (grantId: string, outcome: GrantOutcome) => {
        const record = pool.grants.get(grantId)!;
        const isUncertain = ["cancelled", "connection_lost", "server_died"].includes(outcome);
        const { requestId } = record.req;
        for (const { id } of record.grant.servers) {
          if (!isUncertain) actual.get(id)!.delete(requestId);
        }
        scheduler.end(grantId, { outcome });
      };
      const poll = (id: string) => {
        const running = actual.get(id)!;
        const server = pool.servers.get(id)!;
        clock.advance(1);
        const active = [...running].map(([requestId, tokens]) => ({
          requestId,
          tokens,
          fencing: 1,
          state: "running" as const,
        }));
        const unowned = reconcileServer(server, active, {
          nowMs: clock.nowMs(),
          askedMs: clock.nowMs(),
          longestRequestMs: 1_000_000,
          endedMs: pool.endedMs.get(id) ?? new Map(),
          isOwned: () => false,
        });
        for (const requestId of unowned) {
          running.delete(requestId);
          removeForeign(server, requestId);
        }
        server.isKnown = true;
      };
      let restarts = 1;
      let requests = 0;
      for (const command of commands) {
        const before = new Set(pool.grants.keys());
        if (command.kind === "acquire") {
          acquire(`r${requests++}`, {
            promptTokens: command.tokens,
            remainingMs: 900_000,
            firstTokenRemainingMs: 600_000,
          });
        } else if (command.kind === "end") {
          const grantId = [...pool.grants.keys()][command.index];
          if (grantId !== undefined) end(grantId, command.outcome);
        } else if (command.kind === "advance") {
          clock.advance(command.ms);
          scheduler.run();
        } else if (command.kind === "restart") {
          actual.get(`e${command.server}`)!.clear();
          const load = { restartCount: ++restarts, warm: false, ageMs: 0, models: {} };
          scheduler.observe(`e${command.server}`, load);
        } else if (command.kind === "share") {
          lease.allow = command.isFull ? (n) => n : (n) => Math.floor(n / 2);
        } else if (command.kind === "poll") poll(`e${command.server}`);
        else scheduler.abandon(`r${command.index}`);
        for (const [grantId, record] of pool.grants) {
          if (before.has(grantId)) continue;
          for (const { id } of record.grant.servers) {
            const server = pool.servers.get(id)!;
            const running = actual.get(id)!.set(record.req.requestId, record.tokensPerServer);
            const tokens = [...running.values()].reduce((a, b) => a + b, 0);
            if (running.size > server.limit || tokens > server.cfg.memoryTokens) return false;
            if (server.reservations.size > lease.allow(server.limit)) return false;
          }
        }
      }
      for (const entry of [...pool.lanes.all()]) scheduler.abandon(entry.acquireId);
      for (const grantId of [...pool.grants.keys()]) end(grantId, "done");
      for (const id of actual.keys()) poll(id);
      return pool.claims.length === 0 &&
        [...pool.servers.values()].every((server) =>
          server.grantedTokens === 0 && server.reservations.size === 0 &&
          server.foreignTokens === 0 && server.foreign.size === 0 &&
          actual.get(server.id)!.size === 0
        );
    }),
    { numRuns: 200, seed: 20261204 },
  );
  t.pass();
});
