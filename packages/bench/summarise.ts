import { build } from "hdr-histogram-js";
import type { PromptClass } from "./make_workload.ts";
import type { LoadResult, Sample } from "./run_load.ts";

/** Number of equal time windows in a summary. */
const WINDOWS = 20;

/** Percentiles in milliseconds. */
export interface Percentiles {
  count: number;
  p50: number;
  p95: number;
  p99: number;
}

/** Results of a class of prompts. */
export interface ClassSummary {
  sent: number;
  ok: number;
  wrong: number;
  /** Failures by reason. */
  failed: Record<string, number>;
  firstToken: Percentiles;
}

/** Results in a time window of the run. */
export interface WindowSummary {
  fromMs: number;
  sent: number;
  okShare: number;
  shortFirstTokenP95Ms: number;
}

/** Results of one run. */
export interface Summary {
  classes: Record<PromptClass, ClassSummary>;
  windows: WindowSummary[];
  events: LoadResult["events"];
  toolDelayP99Ms: number;
}

/**
 * Summarises the samples of a run by prompt class and by time.
 *
 * @param result samples of the run
 * @param durationMs modelled length of the run
 * @returns counts and percentiles
 *
 * @example
 * const { classes } = summarise(result, 60_000);
 */
export function summarise(result: LoadResult, durationMs: number): Summary {
  const { samples } = result;
  const classes = {
    short: summariseClass(samples.filter((sample) => sample.promptClass === "short")),
    medium: summariseClass(samples.filter((sample) => sample.promptClass === "medium")),
    long: summariseClass(samples.filter((sample) => sample.promptClass === "long")),
  };
  const windowMs = durationMs / WINDOWS;
  const windows = Array.from({ length: WINDOWS }, (_, index) => {
    const fromMs = index * windowMs;
    const inside = samples.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + windowMs);
    const ok = inside.filter((sample) => sample.outcome === "ok");
    const short = summariseClass(inside.filter((sample) => sample.promptClass === "short"));
    return {
      fromMs,
      sent: inside.length,
      okShare: inside.length === 0 ? 1 : round(ok.length / inside.length, 1_000),
      shortFirstTokenP95Ms: short.firstToken.p95,
    };
  });
  return { classes, windows, events: result.events, toolDelayP99Ms: round(result.toolDelayP99Ms) };
}

/**
 * Computes percentiles of durations.
 *
 * @param values milliseconds
 * @returns count and percentiles, rounded to a tenth of a millisecond
 *
 * @example
 * const { p95 } = percentilesOf(samples.map((sample) => sample.totalMs));
 */
export function percentilesOf(values: readonly number[]): Percentiles {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const value of values) histogram.recordValue(Math.max(0, Math.round(value * 1_000)));
  const at = (percentile: number) =>
    values.length === 0 ? 0 : round(histogram.getValueAtPercentile(percentile) / 1_000);
  return { count: values.length, p50: at(50), p95: at(95), p99: at(99) };
}

function summariseClass(samples: readonly Sample[]): ClassSummary {
  const failed: Record<string, number> = {};
  for (const { outcome, reason = "unknown" } of samples) {
    if (outcome === "failed") failed[reason] = (failed[reason] ?? 0) + 1;
  }
  return {
    sent: samples.length,
    ok: samples.filter((sample) => sample.outcome === "ok").length,
    wrong: samples.filter((sample) => sample.outcome === "wrong").length,
    failed,
    firstToken: percentilesOf(samples.flatMap((sample) => sample.firstTokenMs ?? [])),
  };
}

function round(value: number, steps = 10): number {
  return Math.round(value * steps) / steps;
}
