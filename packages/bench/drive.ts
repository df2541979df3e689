import { getApiKey, TEST_MODEL } from "@jaypass/system_tests";
import { Agent, request } from "undici";
import { percentilesOf } from "./summarise.ts";
import type { Percentiles } from "./summarise.ts";

/** Options of {@linkcode drive}. */
export interface DriveOptions {
  seconds: number;
  concurrency: number;
  maxTokens: number;
  promptTokens: number;
  workspace: string;
}

/** Result of one load driver. */
export interface DriveResult {
  whole: number;
  failed: number;
  totalMs: Percentiles;
}

/**
 * Sends requests to one host in a closed loop with fixed concurrency.
 *
 * It checks only the end of each answer, so that it needs less CPU time than the host. Several driver
 * processes are needed to saturate the host's core.
 *
 * @param url base URL of the host
 * @param options concurrency and size of the requests
 * @returns number of complete answers and of failures, and durations
 *
 * @example
 * const { whole } = await drive(host.url, { seconds: 5, concurrency: 32, ... });
 */
export async function drive(url: string, options: DriveOptions): Promise<DriveResult> {
  const dispatcher = new Agent({ connections: options.concurrency });
  const endMs = performance.now() + options.seconds * 1_000;
  const durations: number[] = [];
  let failed = 0;
  const body = JSON.stringify({
    model: TEST_MODEL,
    messages: [{ role: "user", content: "text ".repeat(options.promptTokens * 4 / 5) }],
    max_tokens: options.maxTokens,
    stream: true,
  });
  const headers = {
    "content-type": "application/json",
    authorization: `Bearer ${getApiKey(options.workspace)}`,
  };
  const loop = async () => {
    while (performance.now() < endMs) {
      const startMs = performance.now();
      try {
        const res = await request(`${url}/v1/chat/completions`, {
          method: "POST",
          headers,
          body,
          dispatcher,
        });
        const text = await res.body.text();
        if (text.endsWith("data: [DONE]\n\n")) durations.push(performance.now() - startMs);
        else failed += 1;
      } catch {
        failed += 1;
      }
    }
  };
  await Promise.all(Array.from({ length: options.concurrency }, loop));
  await dispatcher.close();
  return { whole: durations.length, failed, totalMs: percentilesOf(durations) };
}
