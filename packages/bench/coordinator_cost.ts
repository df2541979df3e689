/**
 * Measures grants per second and CPU time per grant of one scheduler with 16 engines.
 *
 * @module
 */
import { createScheduler } from "@jaypass/admission";
import type { Grant } from "@jaypass/admission";
import { createClock, createMetrics } from "@jaypass/kernel";
import { createSeededRandom } from "./_lib/workload.ts";

const SEED = 31;
const GRANTS = 20_000;
const SILENT_LOG = { debug() {}, info() {}, warn() {}, error() {}, child: () => SILENT_LOG };

console.log("waiting | prefix blocks | grants/s of one core | processor time per grant");
for (const waiting of [0, 50, 400]) {
  for (const blocks of [0, 64]) {
    const random = createSeededRandom(SEED);
    const clock = createClock();
    const scheduler = createScheduler("model@bench", {
      clock,
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
    const cfg = {
      url: "",
      kind: "engine" as const,
      serves: "model",
      dataCentre: "bench",
      warmLimit: 32,
      coldLimit: 32,
      memoryTokens: 10_000_000,
      fencing: "ignored" as const,
      state: "in" as const,
    };
    scheduler.configure(
      Array.from({ length: 16 }, (_, n) => ({ id: `e${n}`, cfg, isOpen: true })),
      {
        contextTokens: 1_000_000,
        bytesPerToken: 4,
        // Prefill is fast enough never to delay a grant, since only the cost of decisions is measured.
        prefillTokensPerSecond: 1e12,
        msPerOutputToken: 0.001,
        version: "1",
      },
    );
    for (const server of scheduler.pool.servers.values()) server.isKnown = true;
    const running: Grant[] = [];
    let sequence = 0;
    const send = () => {
      const requestId = `r${sequence++}`;
      const family = Math.floor(random() * 200);
      scheduler.acquire({
        acquireId: requestId,
        owner: { host: "bench", incarnation: "1", address: "bench" },
        req: {
          requestId,
          serves: "model",
          workspace: "bench",
          fingerprint: requestId,
          promptTokens: 1_000 + Math.floor(random() * 7_000),
          maxTokens: 100,
          prefixBlocks: Array.from({ length: blocks }, (_, n) => `${family}/${n}`),
          remainingMs: 1e9,
          firstTokenRemainingMs: 1e9,
          exclude: [],
        },
        settle: (decision) => {
          if (decision.type === "granted") running.push(decision.grant);
        },
      });
    };
    for (let n = 0; n < 16 * 32 + waiting; n++) send();
    const before = process.cpuUsage();
    const startMs = clock.nowMs();
    let granted = 0;
    while (granted < GRANTS) {
      const grant = running.splice(Math.floor(random() * running.length), 1)[0]!;
      const outcome = { outcome: "done" as const, firstTokenMs: 1, totalMs: 1 };
      scheduler.end(grant.grantId, outcome);
      send();
      granted += 1;
    }
    const cpu = process.cpuUsage(before);
    const cpuMs = (cpu.user + cpu.system) / 1_000;
    console.log([
      waiting,
      blocks,
      Math.round(GRANTS / (clock.nowMs() - startMs) * 1_000),
      `${(1_000 * cpuMs / GRANTS).toFixed(0)} us`,
    ].join(" | "));
  }
}
