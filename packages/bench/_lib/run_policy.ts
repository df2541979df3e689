import { createScheduler } from "@jaypass/admission";
import type { Scheduler } from "@jaypass/admission";
import { createMetrics } from "@jaypass/kernel";
import { createEventQueue, createModelEngine } from "./engine_model.ts";
import type { EventQueue, ModelEngine } from "./engine_model.ts";
import { createSeededRandom } from "./workload.ts";
import type { Arrival } from "./workload.ts";

/** Names of the policies that choose an engine. */
export const POLICIES = [
  "coordinator",
  "round robin",
  "least connections",
  "two random, lagged load",
] as const;

/** A value of {@linkcode POLICIES}. */
export type Policy = typeof POLICIES[number];

/** Engines and limits of a run. */
export interface RunOptions {
  policy: Policy;
  engines: number;
  slots: number;
  memoryTokens: number;
  prefillTokensPerSecond: number;
  msPerOutputToken: number;
  chunkTokens: number;
  /** Whether engines order their work by priority. */
  hasPriorities: boolean;
  /** Delay of the load reports that the policy with two random choices uses. */
  lagMs: number;
  durationMs: number;
  seed: number;
  /** Deadline of the first token; the coordinator refuses requests that cannot meet it. */
  firstTokenMs: (arrival: Arrival) => number;
}

/** Outcome of a request. Times are measured from its arrival. */
export interface Outcome {
  arrival: Arrival;
  firstTokenMs: number | undefined;
  endMs: number | undefined;
  refused: string | undefined;
}

const SILENT_LOG = { debug() {}, info() {}, warn() {}, error() {}, child: () => SILENT_LOG };
const priorityOf = (tokens: number) => (tokens <= 8_192 ? 0 : tokens <= 100_000 ? 1 : 2);

function createModelScheduler(events: EventQueue, options: RunOptions): Scheduler {
  const scheduler = createScheduler("model@bench", {
    clock: { nowMs: events.nowMs, wallMs: events.nowMs },
    log: SILENT_LOG,
    metrics: createMetrics({ tags: {} }),
    address: "bench",
    allowedLimit: (limit) => limit,
    canGrant: () => true,
    fencing: () => 1,
    isQuarantined: () => false,
    onQuarantine: () => {},
    onSuspects: () => {},
  });
  scheduler.configure(
    Array.from({ length: options.engines }, (_, n) => ({
      id: `e${n}`,
      isOpen: true,
      cfg: {
        url: "",
        kind: "engine" as const,
        serves: "model",
        dataCentre: "bench",
        warmLimit: options.slots,
        coldLimit: options.slots,
        memoryTokens: options.memoryTokens,
        fencing: "ignored" as const,
        state: "in" as const,
      },
    })),
    {
      contextTokens: 1_000_000,
      bytesPerToken: 4,
      prefillTokensPerSecond: options.prefillTokensPerSecond,
      msPerOutputToken: options.msPerOutputToken,
      version: "1",
    },
  );
  for (const server of scheduler.pool.servers.values()) server.isKnown = true;
  return scheduler;
}

/**
 * Simulates a workload under a policy on model engines.
 *
 * @param arrivals requests of the workload
 * @param options policy, engines and limits
 * @returns an outcome for each request
 */
export function runPolicy(arrivals: readonly Arrival[], options: RunOptions): Outcome[] {
  const events = createEventQueue();
  const engines = Array.from(
    { length: options.engines },
    (_, n) => createModelEngine(`e${n}`, { ...options, events }),
  );
  const random = createSeededRandom(options.seed + 77);
  const outcomes: Outcome[] = [];
  let scheduler: Scheduler | undefined;
  const waiting = new Map<string, () => void>();

  const submit = (engine: ModelEngine, outcome: Outcome, onEnd: () => void) =>
    engine.submit({
      ...outcome.arrival,
      priority: priorityOf(outcome.arrival.promptTokens),
      onFirstToken: () => outcome.firstTokenMs = events.nowMs() - outcome.arrival.atMs,
      onEnd: () => {
        outcome.endMs = events.nowMs() - outcome.arrival.atMs;
        onEnd();
      },
    });

  let turn = 0;
  const connections = new Map(engines.map((engine) => [engine, 0]));
  let lagged = engines.map(() => 0);
  const choose = (): ModelEngine => {
    if (options.policy === "round robin") return engines[turn++ % engines.length]!;
    if (options.policy === "least connections") {
      return engines.reduce((a, b) => connections.get(b)! < connections.get(a)! ? b : a);
    }
    const [a, b] = [0, 0].map(() => Math.floor(random() * engines.length)) as [number, number];
    return engines[lagged[a]! <= lagged[b]! ? a : b]!;
  };

  if (options.policy === "coordinator") {
    scheduler = createModelScheduler(events, options);
    const tick = () => {
      // Hosts call again every 500 ms and the coordinator runs a round every 20 ms.
      for (const again of [...waiting.values()]) again();
      scheduler!.run();
      if (events.nowMs() < options.durationMs * 3) events.at(events.nowMs() + 20, tick);
    };
    events.at(0, tick);
  } else {
    const report = () => {
      const load = engines.map((engine) => engine.queuedTokens());
      events.at(events.nowMs() + options.lagMs, () => lagged = load);
      if (events.nowMs() < options.durationMs * 3) events.at(events.nowMs() + 100, report);
    };
    if (options.policy === "two random, lagged load") events.at(0, report);
  }

  for (const arrival of arrivals) {
    const outcome: Outcome = {
      arrival,
      firstTokenMs: undefined,
      endMs: undefined,
      refused: undefined,
    };
    outcomes.push(outcome);
    events.at(arrival.atMs, () => {
      if (scheduler === undefined) {
        const engine = choose();
        connections.set(engine, connections.get(engine)! + 1);
        submit(engine, outcome, () => connections.set(engine, connections.get(engine)! - 1));
        return;
      }
      const dueMs = arrival.atMs + options.firstTokenMs(arrival);
      const call = () =>
        scheduler!.acquire({
          acquireId: arrival.id,
          owner: { host: "bench", incarnation: "1", address: "bench" },
          req: {
            requestId: arrival.id,
            serves: "model",
            workspace: "bench",
            fingerprint: arrival.id,
            promptTokens: arrival.promptTokens,
            maxTokens: arrival.outputTokens,
            prefixBlocks: [],
            remainingMs: dueMs - events.nowMs() + 600_000,
            firstTokenRemainingMs: dueMs - events.nowMs(),
            exclude: [],
          },
          settle: (decision) => {
            if (decision.type === "queued") return;
            waiting.delete(arrival.id);
            if (decision.type === "refused") {
              outcome.refused = decision.reason;
              return;
            }
            const { grantId, servers } = decision.grant;
            const sentMs = events.nowMs();
            const engine = engines.find(({ id }) => id === servers[0]!.id)!;
            submit(engine, outcome, () =>
              scheduler!.end(grantId, {
                outcome: "done",
                firstTokenMs: arrival.atMs + outcome.firstTokenMs! - sentMs,
                totalMs: events.nowMs() - sentMs,
              }));
          },
        });
      let lastMs = events.nowMs();
      waiting.set(arrival.id, () => {
        if (events.nowMs() - lastMs < 500) return;
        lastMs = events.nowMs();
        call();
      });
      call();
    });
  }
  events.runUntil(options.durationMs * 3);
  return outcomes;
}
