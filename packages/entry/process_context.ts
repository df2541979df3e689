import type { Clock, Logger, Metrics, RandomSource } from "@jaypass/kernel";
import type { Settings } from "./settings.ts";

/** Settings and process-wide services that every service of an entry host receives. */
export interface ProcessContext {
  settings: Settings;
  /** Id of this process; a later process on the same host has an id that sorts after it. */
  incarnation: string;
  clock: Clock;
  random: RandomSource;
  log: Logger;
  metrics: Metrics;
}
