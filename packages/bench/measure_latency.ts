import { createEngineClient } from "@jaypass/engines";
import { createClock, createMetrics } from "@jaypass/kernel";
import { createCaller, startSystem, TEST_MODEL } from "@jaypass/system_tests";
import { type Percentiles, percentilesOf } from "./summarise.ts";

/** Rounds before the measurement, which warm up the JIT compiler and the connections. */
const WARM_UP_ROUNDS = 200;

/** Prompt of the measurement, of the length of a typical short prompt. */
const PROMPT = "How high may the water in the sump stand? ".repeat(96);

/** Latency that an entry host adds on an idle system, in real milliseconds. */
export interface LatencyResult {
  /** Time to first token of requests sent directly to the engine. */
  direct: Percentiles;
  /** Time to first token of requests sent through an entry host. */
  throughHost: Percentiles;
  /** Difference between the two requests of each round, at least 0. */
  added: Percentiles;
}

/**
 * Measures the latency that an entry host adds to the time to first token on an idle system.
 *
 * Each round sends the same prompt directly to the engine and then through a host, so that both requests
 * run under the same conditions. The engine's own latency cancels out in the difference.
 *
 * @param rounds number of rounds
 * @returns percentiles
 * @throws when a request through a host fails
 *
 * @example
 * const { added } = await measureLatency(2_000);
 */
export async function measureLatency(rounds: number): Promise<LatencyResult> {
  const system = await startSystem({
    hosts: 3,
    engines: 1,
    services: 0,
    engine: { coldMs: 0, warmLimit: 64 },
    speed: { prefillTokensPerSecond: 10_000_000, msPerOutputToken: 0.1 },
  });
  const engineUrl = system.engines[0]?.url ?? "";
  const metrics = createMetrics({ tags: {} });
  const client = createEngineClient(engineUrl, { clock: createClock(), metrics });
  const caller = createCaller("school");
  const direct: number[] = [];
  const throughHost: number[] = [];
  const added: number[] = [];

  const timeDirect = async (requestId: string) => {
    const startMs = performance.now();
    let firstTokenMs = 0;
    const req = {
      requestId,
      model: TEST_MODEL,
      // The text that an engine receives from a host for the same prompt.
      prompt: `user: ${PROMPT}\n`,
      generated: [],
      maxTokens: 1,
      priority: 0,
      fencing: 0,
    };
    const limits = { timeoutMs: 10_000, idleTimeoutMs: 5_000 };
    for await (const event of client.complete(req, limits)) {
      if (event.type === "token") firstTokenMs = performance.now() - startMs;
    }
    return firstTokenMs;
  };
  const timeHost = async (round: number) => {
    const host = system.hosts[round % system.hosts.length];
    const outcome = await caller.complete(host?.url ?? "", PROMPT, { maxTokens: 1 });
    if (!outcome.isComplete) throw new Error(`Request failed: "${outcome.error?.reason}"`);
    return outcome.firstTokenMs ?? 0;
  };

  try {
    for (let round = -WARM_UP_ROUNDS; round < rounds; round += 1) {
      const directMs = await timeDirect(`direct-${round}`);
      const hostMs = await timeHost(round + WARM_UP_ROUNDS);
      if (round < 0) continue;
      direct.push(directMs);
      throughHost.push(hostMs);
      added.push(Math.max(0, hostMs - directMs));
    }
  } finally {
    await Promise.all([client.close(), caller.close()]);
    await system.stop();
  }
  return {
    direct: percentilesOf(direct),
    throughHost: percentilesOf(throughHost),
    added: percentilesOf(added),
  };
}
