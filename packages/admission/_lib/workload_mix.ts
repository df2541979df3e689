import type { Clock } from "@jaypass/kernel";
import {
  MAX_SHORT_UTILISATION,
  MIN_LONG_TIME_SHARE,
  WORKLOAD_TIME_CONSTANT_MS,
} from "../constants.ts";
import { LANE } from "../types.ts";
import type { Lane } from "../types.ts";

/** Recent prefill work by lane. */
export interface WorkloadMix {
  /** Adds the prefill work of an arrival, in milliseconds on one engine. */
  add(lane: Lane, prefillMs: number): void;
  /** Number of engines, of those that are open, on which long work may run. */
  maxLongEngines(engines: number): number;
  /** How much longer a long prefill takes beside the other work, of which engines do it later. */
  longPrefillSlowdown(engines: number): number;
}

/**
 * Creates decaying averages of the arriving work, from which the share of long work follows.
 *
 * @param clock monotonic time source
 * @returns the mix, empty at first
 */
export function createWorkloadMix(clock: Clock): WorkloadMix {
  /** Engine-milliseconds of work that arrive per millisecond. */
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
      const fair = Math.ceil(engines * rate.long / Math.max(rest + rate.long, 1e-9));
      const most = engines - Math.ceil(rest / MAX_SHORT_UTILISATION);
      return Math.max(1, Math.min(fair, most));
    },
  };
}
