import test from "ava";
import type { ExecutionContext } from "ava";
import { sleep } from "@jaypass/kernel";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { countEffects, findAnswerError, readEngineLogs } from "./answer_checks.ts";
import { createCaller } from "./create_caller.ts";
import type { CallerOutcome } from "./create_caller.ts";
import { startSystem } from "./start_system.ts";
import type { System } from "./start_system.ts";

/** Seeds that run in CI. */
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

/** Duration of the load with faults. */
const RUN_MS = 9_000;

/** Deadline of every request. */
const TIMEOUT_MS = 6_000;

/** Time after the deadline within which the answer must reach the caller, also on a busy machine. */
const ANSWER_MARGIN_MS = 3_000;

const TOKENS = 24;
const COLD_LIMIT = 4;

type PickIndex = (bound: number) => number;

/** Faults by name. Each function injects the fault and returns the function that ends it. */
const FAULTS: Record<string, (system: System, pick: PickIndex) => Promise<() => Promise<void>>> = {
  killHost: async (system, pick) => {
    const host = system.hosts[pick(system.hosts.length)]!;
    host.program.signal("SIGKILL");
    await host.program.exited;
    return () => system.restartHost(host);
  },
  pauseHost: (system, pick) => {
    const { program } = system.hosts[pick(system.hosts.length)]!;
    program.signal("SIGSTOP");
    return Promise.resolve(() => Promise.resolve(program.signal("SIGCONT")));
  },
  crashEngine: async (system, pick) => {
    await system.setFaults(system.engines[pick(system.engines.length)]!.url, { crash: true });
    return () => Promise.resolve();
  },
  silenceEngine: async (system, pick) => {
    const { url } = system.engines[pick(system.engines.length)]!;
    await system.setFaults(url, { silence: "open" });
    return () => system.setFaults(url, { silence: "none" });
  },
  corruptAnswers: async (system, pick) => {
    const { url } = system.engines[pick(system.engines.length)]!;
    await system.setFaults(url, { crossNext: 2, cutNext: 2, gapNext: 2, duplicateNext: 2 });
    return () => Promise.resolve();
  },
  loseServiceAnswers: async (system) => {
    await system.setFaults(system.services[0]!.url, { loseAnswerNext: 2, crossNext: 1 });
    return () => Promise.resolve();
  },
  stopStore: async (system, pick) => {
    const outage = (["silent", "refuse", "reset"] as const)[pick(3)];
    const clients = pick(2) === 0 ? {} : { clients: [system.hosts[0]!.id] };
    await system.setFaults(system.platform.url, { ...clients, faults: { outage } });
    return () => system.setFaults(system.platform.url, { reset: true });
  },
  loseStoreAnswers: async (system) => {
    const faults = {
      loseAnswers: { probability: 0.3 },
      lateWrites: { probability: 0.2, delayMs: 1_500 },
    };
    await system.setFaults(system.platform.url, { faults });
    return () => system.setFaults(system.platform.url, { reset: true });
  },
  raceOperators: async (system, pick) => {
    const name = `dc-${pick(2)}`;
    const change = (host: number, state: string) =>
      system.postAdmin(system.hosts[host]!.url, `config/data-centres/${name}/state`, {
        state,
        why: "Race",
      }).catch(() => {});
    const bounded = (work: Promise<unknown>[]) => Promise.race([Promise.all(work), sleep(2_000)]);
    await bounded([change(0, "out"), change(1, "out"), change(2, "in")]);
    return async () => void await bounded([change(1, "in"), change(2, "in")]);
  },
};

interface RecordedOutcome {
  /** What is wrong with the answer of a completion. */
  fault?: string;
  /** Time between the deadline and the end of the request; negative when it ended earlier. */
  lateMs: number;
  /** Idempotency key of a call to the plain service. */
  key?: string;
  outcome: CallerOutcome;
}

for (const seed of SEEDS) {
  test.serial(`two concurrent faults violate no guarantee (seed ${seed})`, (t) => runSeed(t, seed));
}

async function runSeed(t: ExecutionContext, seed: number) {
  const generator = xoroshiro128plus(seed);
  const pick: PickIndex = (bound) => uniformInt(generator, 0, bound - 1);
  const system = await startSystem({
    hosts: 4,
    engines: 4,
    services: 1,
    dataCentres: ["dc-0", "dc-1"],
    engine: { coldLimit: COLD_LIMIT, warmLimit: 12, coldMs: 1_500 },
    speed: { prefillTokensPerSecond: 400_000, msPerOutputToken: 4 },
  });
  try {
    const revisions = recordRevisionDecreases(system);
    const recorded = await runLoad(system, () => injectFaults(system, pick));
    const revisionDecreases = await revisions.stop();
    await checkOutcome(t, system, { recorded, revisionDecreases });
  } finally {
    await system.stop();
  }
}

/** Injects two random faults at a time, one pair after the other, for `RUN_MS`. */
async function injectFaults(system: System, pick: PickIndex) {
  const endMs = performance.now() + RUN_MS;
  while (performance.now() < endMs) {
    const names = Object.keys(FAULTS);
    const first = names[pick(names.length)]!;
    const others = names.filter((name) => name !== first);
    const second = others[pick(others.length)]!;
    const endFaults: (() => Promise<void>)[] = [];
    for (const name of [first, second]) endFaults.push(await FAULTS[name]!(system, pick));
    await sleep(800 + pick(1_500));
    for (const end of endFaults) await end();
    await sleep(pick(600));
  }
}

/** Sends short and long prompts and bookings from concurrent workers while `faults` runs. */
async function runLoad(system: System, faults: () => Promise<void>): Promise<RecordedOutcome[]> {
  const caller = createCaller("school");
  const recorded: RecordedOutcome[] = [];
  let isStopped = false;
  const record = (outcome: CallerOutcome, more: Partial<RecordedOutcome>) =>
    recorded.push({ outcome, lateMs: outcome.totalMs - TIMEOUT_MS, ...more });
  const complete = async (n: number) => {
    for (let i = 0; !isStopped; i++) {
      const content = `question ${n}.${i} `.repeat(i % 5 === 0 ? 4_000 : 20);
      const url = system.hosts[(n + i) % system.hosts.length]!.url;
      const options = { maxTokens: TOKENS, timeoutMs: TIMEOUT_MS };
      const outcome = await Promise.race([
        caller.complete(url, content, options),
        waitForSilentHost(),
      ]);
      record(outcome, { fault: findAnswerError(outcome, content, TOKENS) });
      await sleep(30);
    }
  };
  const book = async (n: number) => {
    for (let i = 0; !isStopped; i++) {
      const key = `spot ${n}.${i}`;
      const urls = [i, i + 1].map((k) => system.hosts[(n + k) % system.hosts.length]!.url);
      await Promise.all(urls.map(async (url) => {
        const call = caller.call(url, "book", { key, timeoutMs: TIMEOUT_MS });
        record(await Promise.race([call, waitForSilentHost()]), { key });
      }));
      await sleep(50);
    }
  };
  const workers = [...[0, 1, 2, 3, 4, 5].map(complete), ...[0, 1].map(book)];
  await faults();
  isStopped = true;
  await Promise.all(workers);
  await caller.close().catch(() => {});
  return recorded;
}

/** Outcome for a caller of a paused host, which receives no response until it times out. */
async function waitForSilentHost(): Promise<CallerOutcome> {
  const waitMs = TIMEOUT_MS + ANSWER_MARGIN_MS;
  await sleep(waitMs);
  const error = { reason: "connection_broken", ran: "unknown", message: "Host did not respond" };
  return { status: 0, tokens: [], isComplete: false, error, totalMs: TIMEOUT_MS };
}

/** Records every decrease of a host's configuration revision within one process. */
function recordRevisionDecreases(system: System) {
  const controller = new AbortController();
  const highest = new Map<string, number>();
  const revisionDecreases: string[] = [];
  const watch = async () => {
    while (!controller.signal.aborted) {
      for (const host of system.hosts) {
        const status = await system.fetchStatus(host).catch(() => undefined);
        if (status === undefined) continue;
        const process = `${host.id}/${status.incarnation}`;
        const before = highest.get(process) ?? 0;
        if (status.revision < before) {
          revisionDecreases.push(`${process}: ${before} then ${status.revision}`);
        }
        highest.set(process, status.revision);
      }
      await sleep(200);
    }
  };
  const done = watch();
  return {
    stop: async () => {
      controller.abort();
      await done;
      return revisionDecreases;
    },
  };
}

async function checkOutcome(
  t: ExecutionContext,
  system: System,
  { recorded, revisionDecreases }: { recorded: RecordedOutcome[]; revisionDecreases: string[] },
) {
  t.deepEqual(recorded.flatMap(({ fault, outcome }) => fault ? [{ fault, outcome }] : []), []);
  t.deepEqual(recorded.filter(({ lateMs }) => lateMs > ANSWER_MARGIN_MS), []);
  t.deepEqual(revisionDecreases, []);

  const effects = await countEffects(system);
  const executedTwice = [...effects].filter(([, runs]) => runs > 1);
  t.deepEqual(executedTwice, []);
  for (const { key, outcome } of recorded) {
    if (key === undefined || !outcome.isComplete) continue;
    t.is(effects.get(`school/${key}`), 1, `"${key}" was confirmed but did not run exactly once`);
  }
  const calls = recorded.filter(({ key }) => key !== undefined);
  for (const { key } of calls) {
    const outcomes = calls.filter((call) => call.key === key).map(({ outcome }) => outcome);
    const isNeverRun = outcomes.every(({ error }) => error?.ran === "not_run");
    if (isNeverRun) t.is(effects.get(`school/${key}`) ?? 0, 0, `"${key}" was "not_run" but ran`);
  }

  const logs = await waitForFreeMemory(system);
  t.deepEqual(logs.map(({ heldTokens }) => heldTokens), logs.map(() => 0));
  const overLimit = logs.filter(({ highestWhileCold }) => highestWhileCold > COLD_LIMIT);
  t.deepEqual(overLimit.map(({ id }) => id), []);
  const whole = recorded.filter(({ outcome }) => outcome.isComplete).length;
  t.log(`${whole} of ${recorded.length} requests got a complete answer`);
}

/**
 * Waits until the engines hold no memory. Memory of requests whose host died is freed at their deadline,
 * or when the host has restarted.
 */
async function waitForFreeMemory(system: System) {
  const endMs = performance.now() + TIMEOUT_MS + 15_000;
  while (true) {
    const logs = await readEngineLogs(system);
    if (logs.every(({ heldTokens }) => heldTokens === 0) || performance.now() > endMs) return logs;
    await sleep(500);
  }
}
