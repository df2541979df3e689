import { createScheduler } from "@jaypass/admission";
import { createEngineClient } from "@jaypass/engines";
import { createClock, createMetrics, sleep } from "@jaypass/kernel";
import { createEngineStandIn } from "@jaypass/stand_ins";
import { createWorkload } from "./_lib/workload.ts";
import type { Arrival } from "./_lib/workload.ts";

/**
 * Repeats the comparison of scheduling.ts with engine stand-ins over HTTP on loopback, in one
 * process. Argument: `coordinator` or `round_robin`. Times are those of engines at time scale 1.
 */
const SEED = 41;
const ENGINES = 5;
const TIME_SCALE = 2;
const DURATION_MS = 120_000;
const PREFILL_TOKENS_PER_SECOND = 20_000;
const isCoordinator = process.argv[2] !== "round_robin";
const SILENT_LOG = { debug() {}, info() {}, warn() {}, error() {}, child: () => SILENT_LOG };

async function measure(arrivals: readonly Arrival[]) {
  const clock = createClock();
  const metrics = createMetrics({ tags: {} });
  const engines = await Promise.all(
    Array.from({ length: ENGINES }, (_, n) =>
      createEngineStandIn({
        id: `e${n}`,
        models: { model: "1" },
        timeScale: TIME_SCALE,
        memoryTokens: 1_000_000,
        coldLimit: 32,
        coldMs: 0,
        prefillTokensPerSecond: PREFILL_TOKENS_PER_SECOND,
      })),
  );
  const clients = engines.map(({ url }) => createEngineClient(url, { clock, metrics }));
  const scheduler = createScheduler("model@bench", {
    clock,
    log: SILENT_LOG,
    metrics,
    address: "bench",
    allowedLimit: (limit) => limit,
    canGrant: () => true,
    fencing: () => 1,
    isQuarantined: () => false,
    onQuarantine: () => {},
    onSuspects: () => {},
  });
  scheduler.configure(
    engines.map(({ url }, n) => ({
      id: `e${n}`,
      isOpen: true,
      cfg: {
        url,
        kind: "engine" as const,
        serves: "model",
        dataCentre: "bench",
        warmLimit: 32,
        coldLimit: 32,
        memoryTokens: 1_000_000,
        fencing: "checked" as const,
        state: "in" as const,
      },
    })),
    {
      contextTokens: 1_000_000,
      bytesPerToken: 4,
      prefillTokensPerSecond: PREFILL_TOKENS_PER_SECOND * TIME_SCALE,
      msPerOutputToken: 20 / TIME_SCALE,
      version: "1",
    },
  );
  for (const server of scheduler.pool.servers.values()) server.isKnown = true;
  const rounds = setInterval(() => scheduler.run(), 20);
  const times: { isLong: boolean; firstTokenMs: number }[] = [];
  let failed = 0;
  let turn = 0;
  const laneOf = (tokens: number) => (tokens <= 8_192 ? 0 : tokens <= 100_000 ? 1 : 2);

  const send = async (arrival: Arrival, engine: number, startMs: number) => {
    const stream = clients[engine]!.complete({
      requestId: arrival.id,
      model: "model",
      prompt: `${arrival.id} `.padEnd(arrival.promptTokens * 4, arrival.id),
      generated: [],
      maxTokens: arrival.outputTokens,
      priority: laneOf(arrival.promptTokens),
      fencing: 1,
    }, { timeoutMs: 300_000, idleTimeoutMs: 60_000 });
    let firstTokenMs: number | undefined;
    for await (const event of stream) {
      if (event.type === "token") firstTokenMs ??= clock.nowMs() - startMs;
    }
    times.push({ isLong: arrival.isLong, firstTokenMs: firstTokenMs! * TIME_SCALE });
    return firstTokenMs!;
  };
  const serve = async (arrival: Arrival) => {
    const startMs = clock.nowMs();
    if (!isCoordinator) return void await send(arrival, turn++ % ENGINES, startMs);
    const dueMs = startMs + (arrival.isLong ? 120_000 : 20_000) / TIME_SCALE;
    for (let isOpen = true; isOpen;) {
      const decision = await new Promise<
        Parameters<Parameters<typeof scheduler.acquire>[0]["settle"]>[0]
      >(
        (resolve) => {
          const timer = setTimeout(() => {
            scheduler.detach(arrival.id);
            resolve({ type: "queued" });
          }, 500);
          scheduler.acquire({
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
              remainingMs: 300_000,
              firstTokenRemainingMs: dueMs - clock.nowMs(),
              exclude: [],
            },
            settle: (settled) => {
              clearTimeout(timer);
              resolve(settled);
            },
          });
        },
      );
      if (decision.type === "refused") failed += 1;
      if (decision.type === "granted") {
        const grantedMs = clock.nowMs();
        const { grantId, servers } = decision.grant;
        const firstTokenMs = await send(arrival, Number(servers[0]!.id.slice(1)), startMs);
        scheduler.end(grantId, {
          outcome: "done",
          firstTokenMs: firstTokenMs - (grantedMs - startMs),
          totalMs: clock.nowMs() - grantedMs,
        });
      }
      isOpen = decision.type === "queued";
    }
  };
  const startMs = clock.nowMs();
  await Promise.all(arrivals.map(async (arrival) => {
    await sleep(Math.max(0, startMs + arrival.atMs / TIME_SCALE - clock.nowMs()));
    await serve(arrival).catch(() => failed += 1);
  }));
  clearInterval(rounds);
  await Promise.all(clients.map((client) => client.close()));
  await Promise.all(engines.map((engine) => engine.stop()));
  const sorted = (isLong: boolean) =>
    times.filter((time) => time.isLong === isLong).map((time) => time.firstTokenMs).sort((a, b) =>
      a - b
    );
  const short = sorted(false);
  const long = sorted(true);
  const at = (all: number[], share: number) => Math.round(all[Math.floor(all.length * share)] ?? 0);
  return {
    p95: at(short, 0.95),
    short: short.length,
    longP50: at(long, 0.5),
    long: long.length,
    failed,
  };
}

const work = {
  seed: SEED,
  durationMs: DURATION_MS,
  shortPerSecond: 14,
  shortTokens: [1_000, 8_000] as [number, number],
  longTokens: [100_000, 400_000] as [number, number],
  outputTokens: [20, 200] as [number, number],
};
const alone = await measure(createWorkload({ ...work, longPerSecond: 0 }));
const mixed = await measure(createWorkload({ ...work, longPerSecond: 14 / 49 * 0.5 }));
console.log(
  JSON.stringify({ policy: isCoordinator ? "coordinator" : "round robin", alone, mixed }),
);
console.log(`ratio ${(mixed.p95 / alone.p95).toFixed(2)}`);
