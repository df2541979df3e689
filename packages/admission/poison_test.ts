import test from "ava";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { createTestScheduler } from "./_testing/create_test_scheduler.ts";
import { testServer } from "./_testing/create_test_document.ts";

interface Run {
  requestId: string;
  fingerprint: string;
  exclude: string[];
  grantId?: string;
  server?: string;
  endMs?: number;
  result?: string;
  /** Number of engines that crashed while it ran on them. */
  crashCount?: number;
}

/** Simulates requests on engines that crash under poison requests and for unrelated reasons. */
function simulate(seed: number, options: { copies: number; otherCrashes: number }) {
  const rng = xoroshiro128plus(seed);
  const random = (from: number, to: number) => uniformInt(rng, from, to);
  const ids = ["e0", "e1", "e2", "e3", "e4", "e5"];
  const test = createTestScheduler(Object.fromEntries(ids.map((id) => [id, testServer()])));
  const { scheduler, clock } = test;
  const runs: Run[] = [
    ...Array.from({ length: options.copies }, (_, n) => ({
      requestId: `poison${n}`,
      fingerprint: "poison",
      exclude: [],
    })),
    ...Array.from({ length: 40 }, (_, n) => ({
      requestId: `innocent${n}`,
      fingerprint: `innocent${n}`,
      exclude: [],
    })),
  ].sort(() => random(0, 1) - 0.5);
  const restarts = new Map(ids.map((id) => [id, 1]));
  const crashes = { poison: 0, other: 0 };
  let tries = 0;
  const calls = new Map<string, { run: Run; acquireId: string }>();
  // Grants are dispatched at once, because the manual clock does not advance in between.
  const dispatch = () => {
    for (const [requestId, { run, acquireId }] of [...calls]) {
      const decision = test.decisions.get(acquireId);
      if (decision?.type === "refused") run.result = decision.reason;
      if (decision?.type !== "granted") continue;
      calls.delete(requestId);
      run.grantId = decision.grant.grantId;
      run.server = decision.grant.servers[0]!.id;
      run.endMs = clock.nowMs() + random(100, 600);
    }
  };
  const crash = (id: string) => {
    dispatch();
    for (const run of runs) {
      if (run.server !== id) continue;
      const { grantId } = run;
      Object.assign(run, { server: undefined, grantId: undefined, endMs: undefined });
      run.exclude = [...run.exclude, id];
      run.crashCount = (run.crashCount ?? 0) + 1;
      scheduler.end(grantId!, {
        outcome: random(0, 2) === 0 ? "connection_lost" : "server_died",
      });
    }
    restarts.set(id, restarts.get(id)! + 1);
  };
  const otherAtMs = Array.from({ length: options.otherCrashes }, () => random(200, 900));
  const startMs = clock.nowMs();
  for (let step = 0; step < 3_000 && runs.some((run) => run.result === undefined); step++) {
    clock.advance(20);
    for (const id of ids) {
      // The coordinator polls every engine at intervals; a crashed engine has restarted by then.
      const server = scheduler.pool.servers.get(id)!;
      if (random(0, 9) === 0) {
        scheduler.observe(id, {
          restartCount: restarts.get(id)!,
          warm: false,
          ageMs: 0,
          models: {},
        });
        for (const work of [...server.foreign.keys()]) server.foreign.delete(work);
        server.foreignTokens = 0;
        server.isKnown = true;
      }
    }
    for (const run of runs) {
      if (run.result !== undefined || run.grantId !== undefined) continue;
      let call = calls.get(run.requestId);
      if (call === undefined) {
        call = { run, acquireId: `${run.requestId}/${tries++}` };
        calls.set(run.requestId, call);
      }
      // Exclude only the last three engines, so that several crashes leave a server for the
      // request.
      const exclude = run.exclude.slice(-3);
      test.acquire(call.acquireId, { ...run, exclude });
    }
    dispatch();
    if (
      otherAtMs[crashes.other] !== undefined && clock.nowMs() - startMs >= otherAtMs[crashes.other]!
    ) {
      const free = ids.filter((id) =>
        ![...scheduler.pool.servers.get(id)!.reservations.values()].some((r) =>
          scheduler.pool.suspects.isSuspect(r.fingerprint)
        )
      );
      if (free.length > 0) crash(free[random(0, free.length - 1)]!);
      crashes.other += 1;
    }
    for (const run of runs) {
      if (run.endMs === undefined || run.endMs > clock.nowMs()) continue;
      if (run.fingerprint === "poison") {
        crashes.poison += 1;
        crash(run.server!);
      } else {
        const grantId = run.grantId!;
        Object.assign(run, { server: undefined, endMs: undefined, result: "done" });
        scheduler.end(grantId, { outcome: "done" });
      }
    }
  }
  return {
    crashes,
    others: runs.filter((run) => run.fingerprint !== "poison"),
    poison: runs.filter((run) => run.fingerprint === "poison").map((run) => run.result),
  };
}

test("a poison request crashes at most two engines, and every other request is answered", (t) => {
  for (let seed = 1; seed <= 60; seed++) {
    for (const copies of [1, 5]) {
      const { crashes, others, poison } = simulate(seed, { copies, otherCrashes: 0 });
      t.true(crashes.poison <= 2, `seed ${seed}: ${crashes.poison} engines`);
      t.true(poison.every((result) => result === "quarantined"), `seed ${seed}: ${poison}`);
      t.true(others.every(({ result }) => result === "done"), `seed ${seed}`);
    }
  }
});

test("with unrelated crashes a request is quarantined only if it ran on two engines that crashed", (t) => {
  for (let seed = 1; seed <= 60; seed++) {
    const { crashes, others, poison } = simulate(seed, { copies: 5, otherCrashes: 2 });
    t.true(crashes.poison <= 2, `seed ${seed}: ${crashes.poison} engines`);
    t.true(poison.every((result) => result === "quarantined"), `seed ${seed}: ${poison}`);
    for (const { result, crashCount = 0, requestId } of others) {
      t.is(result, crashCount >= 2 ? "quarantined" : "done", `seed ${seed}: ${requestId}`);
    }
  }
});
