import type { Clock } from "@jaypass/kernel";
import { LONG_TIME_SHARE, MIX_TIME_CONSTANT_MS, SHORT_UTILISATION } from "../constants.ts";
import { LANE } from "../types.ts";
import type { Lane } from "../types.ts";

/** Recent prefill work by lane. */
export interface WorkMix {
  /** Adds the prefill work of an arrival, in milliseconds on one engine. */
  add(lane: Lane, prefillMs: number): void;
  /** Number of engines, of those that are open, on which long work may run. */
  longEngines(engines: number): number;
  /** How much longer a long prefill takes beside the other work, of which engines do it later. */
  longStretch(engines: number): number;
}

/**
 * Creates decaying averages of the arriving work, from which the share of long work follows.
 *
 * @param clock monotonic time source
 * @returns the mix, empty at first
 */
export function createWorkMix(clock: Clock): WorkMix {
  /** Engine-milliseconds of work that arrive per millisecond. */
  const rate: Record<Lane, number> = { short: 0, medium: 0, long: 0 };
  let lastMs = clock.nowMs();
  const decay = () => {
    const nowMs = clock.nowMs();
    const factor = Math.exp(-(nowMs - lastMs) / MIX_TIME_CONSTANT_MS);
    lastMs = nowMs;
    for (const lane of Object.values(LANE)) rate[lane] *= factor;
  };
  return {
    longStretch(engines) {
      decay();
      const others = (rate.short + rate.medium) / Math.max(1, engines);
      return 1 / Math.max(LONG_TIME_SHARE, 1 - others);
    },
    add(lane, prefillMs) {
      decay();
      rate[lane] += prefillMs / MIX_TIME_CONSTANT_MS;
    },
    longEngines(engines) {
      decay();
      const rest = rate.short + rate.medium;
      const fair = Math.ceil(engines * rate.long / Math.max(rest + rate.long, 1e-9));
      const most = engines - Math.ceil(rest / SHORT_UTILISATION);
      return Math.max(1, Math.min(fair, most));
    },
  };
}
