import type { Clock, Logger, Metrics, RandomSource } from "@jaypass/kernel";
import type { Settings } from "./settings.ts";

/** What every service of an entry host is given. */
export interface ProcessContext {
  settings: Settings;
  /** Distinguishes this process from earlier ones on the same host; a later one sorts after. */
  incarnation: string;
  clock: Clock;
  random: RandomSource;
  log: Logger;
  metrics: Metrics;
}
