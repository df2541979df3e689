import { expectedTokens } from "@jaypass/stand_ins";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { buildPrompt } from "./_lib/build_prompt.ts";
import type { Target } from "./_lib/target.ts";
import type { Arrival, PromptClass } from "./make_workload.ts";

/** Modelled time for which callers wait for a complete answer, by prompt class. */
const TIMEOUT_MS: Record<PromptClass, number> = { short: 30_000, medium: 60_000, long: 300_000 };

/** Event that changes the fleet during a run. */
export interface ScheduledEvent {
  /** Modelled time since the start of the run. */
  atMs: number;
  name: string;
  run: () => Promise<void>;
}

/** Result of one request. Times are modelled times. */
export interface Sample {
  promptClass: PromptClass;
  /** Intended start of the request. */
  atMs: number;
  outcome: "ok" | "wrong" | "failed";
  reason?: string;
  /** Measured from the intended start, so that a stalled sender does not hide latency. */
  firstTokenMs?: number;
  totalMs: number;
  tokens: number;
}

/** Samples of a run, and the delay of the load tool itself. */
export interface LoadResult {
  samples: Sample[];
  /** Event loop delay of the load tool, 99th percentile, in real time. */
  toolDelayP99Ms: number;
  events: { name: string; atMs: number }[];
}

/** Options of {@linkcode runLoad}. */
export interface LoadOptions {
  timeScale: number;
  bytesPerToken: number;
  events?: readonly ScheduledEvent[];
}

/**
 * Sends planned requests at their intended times, without waiting for earlier ones, and verifies each
 * complete answer.
 *
 * @param target system that receives the load
 * @param arrivals planned requests in the order of their start
 * @param options time scale and scheduled events
 * @returns one sample per request
 *
 * @example
 * const result = await runLoad(target, makeWorkload(profile, { seed: 1, durationMs: 60_000 }), {
 *   timeScale: 4,
 *   bytesPerToken: 4,
 * });
 */
export async function runLoad(
  target: Target,
  arrivals: readonly Arrival[],
  options: LoadOptions,
): Promise<LoadResult> {
  const { timeScale } = options;
  const delay = monitorEventLoopDelay({ resolution: 5 });
  delay.enable();
  const startMs = performance.now() + 100;
  const modelledMs = () => (performance.now() - startMs) * timeScale;
  const waitUntil = async (atMs: number) => {
    const waitMs = startMs + atMs / timeScale - performance.now();
    if (waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs));
  };

  const sendOne = async (arrival: Arrival): Promise<Sample> => {
    const { promptClass, atMs } = arrival;
    const prompt = buildPrompt(arrival, options.bytesPerToken);
    const leftMs = (atMs + TIMEOUT_MS[promptClass] - modelledMs()) / timeScale;
    let firstTokenMs: number | undefined;
    let received = 0;
    const onToken = () => {
      firstTokenMs ??= modelledMs() - atMs;
      received += 1;
    };
    const finish = (outcome: Sample["outcome"], reason?: string): Sample => ({
      promptClass,
      atMs,
      outcome,
      ...(reason !== undefined && { reason }),
      ...(firstTokenMs !== undefined && { firstTokenMs }),
      totalMs: modelledMs() - atMs,
      tokens: received,
    });
    const timeoutMs = Math.max(1, leftMs);
    let tokens: string[];
    try {
      tokens = await target.send(arrival, prompt, {
        // Fires after the target's own timeout, so that a timeout is always reported with the same reason.
        signal: AbortSignal.timeout(Math.ceil(timeoutMs) + 500),
        timeoutMs,
        onToken,
      });
    } catch (err) {
      return finish("failed", reasonOf(err));
    }
    const expected = expectedTokens(target.enginePrompt(prompt), arrival.maxTokens);
    const isRight = tokens.length === expected.length &&
      tokens.every((text, index) => text === expected[index]);
    return finish(isRight ? "ok" : "wrong");
  };

  const events: LoadResult["events"] = [];
  const eventsDone = (options.events ?? []).map(async (event) => {
    await waitUntil(event.atMs);
    events.push({ name: event.name, atMs: event.atMs });
    await event.run();
  });
  const pending: Promise<Sample>[] = [];
  for (const arrival of arrivals) {
    await waitUntil(arrival.atMs);
    pending.push(sendOne(arrival));
  }
  const samples = await Promise.all(pending);
  await Promise.all(eventsDone);
  delay.disable();
  return { samples, toolDelayP99Ms: delay.percentile(99) / 1e6, events };
}

function reasonOf(err: unknown): string {
  const { code, reason, message } = err as { code?: string; reason?: string; message?: string };
  return reason ?? code ?? message ?? "unknown";
}
