import type { Clock } from "@jaypass/kernel";
import {
  MAX_SHORT_UTILISATION,
  MIN_LONG_TIME_SHARE,
  WORKLOAD_TIME_CONSTANT_MS,
} from "../constants.ts";
import { LANE } from "../types.ts";
import type { Lane } from "../types.ts";

/** Recent prefill work by lane, from which the capacity for long prompts follows. */
export interface WorkloadMix {
  /** Adds the prefill work of an arriving request, in milliseconds on one engine. */
  add(lane: Lane, prefillMs: number): void;
  /** Number of the given engines that may run long prompts at the same time, at least 1. */
  maxLongEngines(engines: number): number;
  /** Factor by which the other work on the engines, which goes first, slows a long prefill down. */
  longPrefillSlowdown(engines: number): number;
}

/**
 * Creates exponential moving averages of the arriving prefill work.
 *
 * @param clock monotonic time source
 * @returns the averages, at first without any work
 */
export function createWorkloadMix(clock: Clock): WorkloadMix {
  /** Milliseconds of prefill work, on one engine, that arrive per millisecond. */
  const rate: Record<Lane, number> = { short: 0, medium: 0, long: 0 };
  let lastMs = clock.nowMs();
  const decay = () => {
    const nowMs = clock.nowMs();
    const factor = Math.exp(-(nowMs - lastMs) / WORKLOAD_TIME_CONSTANT_MS);
    lastMs = nowMs;
    for (const lane of Object.values(LANE)) rate[lane] *= factor;
  };
  return {
    longPrefillSlowdown(engines) {
      decay();
      const others = (rate.short + rate.medium) / Math.max(1, engines);
      return 1 / Math.max(MIN_LONG_TIME_SHARE, 1 - others);
    },
    add(lane, prefillMs) {
      decay();
      rate[lane] += prefillMs / WORKLOAD_TIME_CONSTANT_MS;
    },
    maxLongEngines(engines) {
      decay();
      const rest = rate.short + rate.medium;
      const proportional = Math.ceil(engines * rate.long / Math.max(rest + rate.long, 1e-9));
      const available = engines - Math.ceil(rest / MAX_SHORT_UTILISATION);
      return Math.max(1, Math.min(proportional, available));
    },
  };
}
