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
  /** Engines that died while it ran on them. */
  deaths?: number;
}

/** Runs requests on engines that die under the poison and, once each, for another reason. */
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
  const killed = { poison: 0, other: 0 };
  let tries = 0;
  const calls = new Map<string, { run: Run; acquireId: string }>();
  // A grant is dispatched at once; the manual clock does not move between the two.
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
      run.deaths = (run.deaths ?? 0) + 1;
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
      // The coordinator polls every engine at intervals; one that died has restarted by then.
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
      // A crash of every engine but one must not leave a request without a server.
      const exclude = run.exclude.slice(-3);
      test.acquire(call.acquireId, { ...run, exclude });
    }
    dispatch();
    if (
      otherAtMs[killed.other] !== undefined && clock.nowMs() - startMs >= otherAtMs[killed.other]!
    ) {
      const free = ids.filter((id) =>
        ![...scheduler.pool.servers.get(id)!.reservations.values()].some((r) =>
          scheduler.pool.suspects.isSuspect(r.fingerprint)
        )
      );
      if (free.length > 0) crash(free[random(0, free.length - 1)]!);
      killed.other += 1;
    }
    for (const run of runs) {
      if (run.endMs === undefined || run.endMs > clock.nowMs()) continue;
      if (run.fingerprint === "poison") {
        killed.poison += 1;
        crash(run.server!);
      } else {
        const grantId = run.grantId!;
        Object.assign(run, { server: undefined, endMs: undefined, result: "done" });
        scheduler.end(grantId, { outcome: "done" });
      }
    }
  }
  return {
    killed,
    innocents: runs.filter((run) => run.fingerprint !== "poison"),
    poison: runs.filter((run) => run.fingerprint === "poison").map((run) => run.result),
  };
}

test("poison costs at most two engines and every innocent request is answered", (t) => {
  for (let seed = 1; seed <= 60; seed++) {
    for (const copies of [1, 5]) {
      const { killed, innocents, poison } = simulate(seed, { copies, otherCrashes: 0 });
      t.true(killed.poison <= 2, `seed ${seed}: ${killed.poison} engines`);
      t.true(poison.every((result) => result === "quarantined"), `seed ${seed}: ${poison}`);
      t.true(innocents.every(({ result }) => result === "done"), `seed ${seed}`);
    }
  }
});

test("with other crashes at the same time only a request that met two of them is taken for poison", (t) => {
  for (let seed = 1; seed <= 60; seed++) {
    const { killed, innocents, poison } = simulate(seed, { copies: 5, otherCrashes: 2 });
    t.true(killed.poison <= 2, `seed ${seed}: ${killed.poison} engines`);
    t.true(poison.every((result) => result === "quarantined"), `seed ${seed}: ${poison}`);
    for (const { result, deaths = 0, requestId } of innocents) {
      t.is(result, deaths >= 2 ? "quarantined" : "done", `seed ${seed}: ${requestId}`);
    }
  }
});
