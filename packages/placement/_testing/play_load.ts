import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { Millis } from "@jaypass/kernel";
import { computePassMs } from "../compute_pass_ms.ts";
import { createPlacer } from "../create_placer.ts";
import type { Placer, PlacerOptions, RunningJob } from "../placer_types.ts";
import { JOB_OUTCOME } from "../types.ts";
import type { PlacementDecision, PlacementJob } from "../types.ts";
import { createManualClock, makeJob, makeServers, PROFILE } from "./fixtures.ts";

/** A request that reaches the placer at a time. */
export interface Arrival {
  atMs: number;
  job: PlacementJob;
}

/** A decided request. */
export interface Played extends Arrival {
  decision: PlacementDecision;
  decidedMs: number;
}

/**
 * Plays requests against a placer. A placed request starts to answer at the expected time, and
 * answers as slowly as on a full engine. Returns the decisions in their order.
 */
export async function playLoad(
  placer: Placer,
  clock: ReturnType<typeof createManualClock>,
  { arrivals, untilMs, onDecided = () => [], onTick = () => {} }: {
    arrivals: readonly Arrival[];
    untilMs: number;
    /** Returns the requests that follow, for example when a caller comes back. */
    onDecided?: (played: Played) => Arrival[];
    /** Called after each tick with the waiting jobs and the running ones. */
    onTick?: (waiting: Arrival[], running: RunningJob[]) => void;
  },
): Promise<Played[]> {
  const played: Played[] = [];
  const due = [...arrivals];
  const waiting = new Set<Arrival>();
  const running = new Map<string, { entry: RunningJob; placedMs: number }>();
  const events: { atMs: number; run: () => void }[] = [];
  const passMs = computePassMs(PROFILE.slots, PROFILE.slots * 10_000, PROFILE);
  const decide = (arrival: Arrival, decision: PlacementDecision) => {
    const nowMs = clock.nowMs();
    played.push({ ...arrival, decision, decidedMs: nowMs });
    due.push(...onDecided({ ...arrival, decision, decidedMs: nowMs }));
    if (decision.kind === "refused") return;
    const { job } = arrival;
    const entry = { ...decision, job, ageMs: 0, isWriting: false };
    running.set(job.id, { entry, placedMs: nowMs });
    const startMs = nowMs + decision.expectedMs;
    const endMs = startMs + job.answerTokens / PROFILE.stepsPerPass * passMs;
    events.push({ atMs: startMs, run: () => placer.started(job.id) });
    const end = () => {
      running.delete(job.id);
      placer.finished(job.id, JOB_OUTCOME.ANSWERED);
    };
    events.push({ atMs: endMs, run: end });
  };
  const take = <T extends { atMs: number }>(list: T[]) => {
    const now = list.filter(({ atMs }) => atMs <= clock.nowMs());
    list.splice(0, list.length, ...list.filter(({ atMs }) => atMs > clock.nowMs()));
    return now;
  };
  while (clock.nowMs() < untilMs) {
    for (const event of take(events)) event.run();
    for (const arrival of take(due)) {
      const decision = placer.place(arrival.job);
      if (decision instanceof Promise) waiting.add(arrival);
      void Promise.resolve(decision).then((settled) => {
        waiting.delete(arrival);
        decide(arrival, settled);
      });
    }
    if (clock.nowMs() % 50 === 0) placer.dispatchReady();
    for (let turn = 0; turn < 4; turn++) await Promise.resolve();
    const ageMs = (placedMs: number) => clock.nowMs() - placedMs;
    const entries = [...running.values()];
    onTick([...waiting], entries.map((item) => ({ ...item.entry, ageMs: ageMs(item.placedMs) })));
    clock.advance(10);
  }
  return played;
}

/** Makes `perSecond` requests a second at random times of a period. */
export function makeArrivals(
  seed: number,
  perSecond: number,
  [fromMs, untilMs]: [Millis, Millis],
  make: (at: number, random: () => number) => Partial<PlacementJob>,
): Arrival[] {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const arrivals: Arrival[] = [];
  for (let atMs = fromMs; atMs < untilMs; atMs += -Math.log(1 - random()) * 1_000 / perSecond) {
    const id = `${seed}-${arrivals.length}`;
    const job = makeJob({ id, fingerprint: id, remainingMs: 2_000, wholeWithinMs: 10_000 });
    arrivals.push({ atMs, job: { ...job, ...make(arrivals.length, random) } });
  }
  return arrivals;
}

/** Creates a placer that queues prompts for some engines of one service. */
export function createEngineHub(
  { isPrioritized, servers, clock = createManualClock(), ...options }: Partial<PlacerOptions> & {
    isPrioritized: boolean;
    servers: number;
    clock?: ReturnType<typeof createManualClock>;
  },
) {
  const placer = createPlacer({
    clock,
    retryLimits: { ratio: 0.2, slack: 10, windowMs: 10_000 },
    coldLimits: { multiplier: 1.5, slack: 5 },
    share: () => 1,
    canQueue: () => true,
    isUncoordinated: () => false,
    seed: "",
    ...options,
  });
  const service = { name: "model", coldRequestsPerS: 0, engine: PROFILE };
  placer.setServices([isPrioritized ? { ...service, isPrioritized } : service]);
  placer.setServers(makeServers(servers));
  return { clock, placer };
}
