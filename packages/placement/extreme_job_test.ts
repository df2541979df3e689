import test from "ava";
import fc from "fast-check";
import { createManualClock, makeJob, makeServers, PROFILE } from "./_testing/fixtures.ts";
import { createPlacer } from "./create_placer.ts";
import { JOB_OUTCOME } from "./types.ts";

/** Token counts and times that headers of a caller can state. */
const amount = fc.oneof(fc.nat(200_000), fc.constantFrom(0, 1, 999_999_999_999, 86_400_000));

test("jobs and reports with extreme numbers do not stop later jobs from being placed", async (t) => {
  const jobs = fc.array(
    fc.record({
      promptTokens: amount,
      answerTokens: amount,
      goalMs: amount,
      pauseGoalMs: amount,
      remainingMs: amount,
      wholeWithinMs: amount,
    }),
    { maxLength: 12 },
  );
  const reports = fc.array(
    fc.record({
      running: fc.nat(Number.MAX_SAFE_INTEGER),
      queued: fc.nat(100),
      usedTokens: amount,
    }),
    { maxLength: 3 },
  );
  const slots = fc.constantFrom(1, 8, 100_000);
  await fc.assert(
    fc.asyncProperty(jobs, reports, slots, fc.boolean(), async (list, loads, count, canQueue) => {
      const clock = createManualClock();
      const placer = createPlacer({
        clock,
        retryLimits: { ratio: 0.2, slack: 10, windowMs: 10_000 },
        coldLimits: { multiplier: 1.5, slack: 5 },
        share: () => 1,
        canQueue: () => canQueue,
        isUncoordinated: () => !canQueue,
        seed: "",
      });
      placer.setServices([{ name: "model", coldRequestsPerS: 0, engine: PROFILE }]);
      placer.setServers(makeServers(3).map((server) => ({ ...server, slots: count })));
      const pending: Promise<unknown>[] = [];
      const placed = list.map((changes, at) => makeJob({ ...changes, id: `j${at}` }));
      for (const [at, job] of placed.entries()) {
        const load = loads[at];
        if (load !== undefined) placer.applyReport(`s${at + 1}`, load);
        pending.push(Promise.resolve(placer.place(job)));
        clock.advance(50);
        placer.dispatchReady();
      }
      for (const job of placed) placer.finished(job.id, JOB_OUTCOME.CANCELLED);
      await Promise.all(pending);
      // Beyond the validity of the reports and of all other estimates.
      clock.advance(60_000);
      placer.dispatchReady();
      const decision = await placer.place(makeJob());
      return decision.kind === "placed" && Number.isFinite(decision.expectedMs);
    }),
  );
  t.pass();
});
