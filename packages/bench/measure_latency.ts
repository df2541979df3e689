import { createEngineClient } from "@jaypass/engines";
import { createClock, createMetrics } from "@jaypass/kernel";
import { createCaller, startSystem, TEST_MODEL } from "@jaypass/system_tests";
import { type Percentiles, percentilesOf } from "./summarise.ts";

/** Requests before the measurement, which warm up the compiled code and the connections. */
const WARM_UP = 200;

/** Tokens of text in a prompt of the measurement; a short prompt of the users. */
const PROMPT = "How high may the water in the sump stand? ".repeat(96);

/** Added latency of an entry host on an idle system, in real milliseconds. */
export interface LatencyResult {
  /** Time to first token straight from the engine. */
  direct: Percentiles;
  /** Time to first token through an entry host. */
  throughHost: Percentiles;
  /** Differences of the pairs of requests that were sent one after the other. */
  added: Percentiles;
}

/**
 * Measures what an entry host adds to the time to first token when nothing else runs.
 *
 * Each round sends the same prompt once straight to the engine and once through a host, so that both
 * see the same machine. The engine's own time is part of both and drops out of the difference.
 *
 * @param rounds pairs of requests
 * @returns percentiles
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
      // The text that an engine gets from a host for the same prompt.
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
    for (let round = -WARM_UP; round < rounds; round += 1) {
      const directMs = await timeDirect(`direct-${round}`);
      const hostMs = await timeHost(round + WARM_UP);
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
