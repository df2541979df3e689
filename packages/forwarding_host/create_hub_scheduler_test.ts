import test from "ava";
import { JOB_OUTCOME } from "@jaypass/placement";
import type { PlacementDecision, PlacementJob, Placer, RunningJob } from "@jaypass/placement";
import { createHubScheduler } from "./create_hub_scheduler.ts";

const PLACED = { kind: "placed", serverId: "s1" } as PlacementDecision;
const toJob = (id: string) => ({ id }) as PlacementJob;

/** Creates a scheduler, and a log of what its placer does. */
function setUp({ hasColdServers }: { hasColdServers: boolean }) {
  const actions: string[] = [];
  const reads: (() => void)[] = [];
  const placer = {
    hasColdServers: () => hasColdServers,
    place(job: PlacementJob) {
      actions.push(`place ${job.id}`);
      return PLACED;
    },
    addRunning: ({ job }: RunningJob) => void actions.push(`running ${job.id}`),
    finished: (jobId: string) => void actions.push(`finished ${jobId}`),
  } as unknown as Placer;
  const scheduler = createHubScheduler(placer, { afterRead: (run) => void reads.push(run) });
  return { scheduler, actions, read: () => reads.forEach((run) => run()) };
}

test("while a server is cold, reports that have arrived count before a request is placed", async (t) => {
  const { scheduler, actions, read } = setUp({ hasColdServers: true });
  const decision = scheduler.place("h1", toJob("a"));
  scheduler.report("h2", { kind: "running", running: { job: toJob("b") } as RunningJob });
  read();
  t.is(await decision, PLACED);
  t.deepEqual(actions, ["running b", "place a"]);
});

test("without cold servers a request is placed at once", (t) => {
  const { scheduler, actions } = setUp({ hasColdServers: false });
  t.is(scheduler.place("h1", toJob("a")), PLACED);
  t.deepEqual(actions, ["place a"]);
});

test("a request is not placed that was cancelled, or whose host has left or placed it, before the reports are read", async (t) => {
  const { scheduler, actions, read } = setUp({ hasColdServers: true });
  const decisions = ["a", "b", "c"].map((id) => scheduler.place(`h-${id}`, toJob(id)));
  scheduler.report("h-a", { kind: "finished", jobId: "a", outcome: JOB_OUTCOME.CANCELLED });
  scheduler.forget("h-b");
  scheduler.report("h-c", { kind: "running", running: { job: toJob("c") } as RunningJob });
  read();
  t.deepEqual((await Promise.all(decisions)).map(({ kind }) => kind), [
    "refused",
    "refused",
    "refused",
  ]);
  t.deepEqual(actions, ["finished a", "finished b", "running c"]);
});

test("requests with the same id are placed for each of their hosts while a server is cold", async (t) => {
  const { scheduler, actions, read } = setUp({ hasColdServers: true });
  const decisions = ["h1", "h2"].map((host) => scheduler.place(host, toJob("a")));
  read();
  t.deepEqual(await Promise.all(decisions), [PLACED, PLACED]);
  t.deepEqual(actions, ["place a", "place a"]);
});

test("of two placements of one host with the same id, the first one is refused and the second one counts", async (t) => {
  const { scheduler, actions, read } = setUp({ hasColdServers: true });
  const decisions = [1, 2].map(() => scheduler.place("h1", toJob("a")));
  read();
  t.deepEqual((await Promise.all(decisions)).map(({ kind }) => kind), ["refused", "placed"]);
  t.deepEqual(actions, ["place a"]);
});
