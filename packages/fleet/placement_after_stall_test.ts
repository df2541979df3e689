import test from "ava";
import { startHosts } from "./_testing/start_fleet_hosts.ts";

const ANSWER_MS = 100;

/** Blocks the event loop until the time limit of each placement has passed. */
function block(): void {
  const endMs = performance.now() + 3 * ANSWER_MS;
  while (performance.now() < endMs);
}

test("a hub whose decisions arrived during a stall of the process is not given up", async (t) => {
  const { hub, members } = await startHosts(t, 5);
  const [first, second] = members;
  if (first === undefined || second === undefined) return t.fail();
  // Only the first job of this kind in a fleet gets no decision.
  await first.fleet.place("late once 0", { answerMs: ANSWER_MS, waitMs: 5_000 });
  let reportCount = 0;
  hub.reports.push = () => {
    // Decisions are sent in the same turn of the event loop; timers run before they are read.
    if (reportCount === 0) setImmediate(block);
    return ++reportCount;
  };
  const answers = await Promise.all(
    [1, 2, 3].map((job) =>
      second.fleet.place(`late once ${job}`, { answerMs: ANSWER_MS, waitMs: 5_000 })
    ),
  );
  t.deepEqual(answers.map((answer) => answer?.by), Array(3).fill(hub.entry.host));
});
