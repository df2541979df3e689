import type { Clock, Logger, PrometheusMetrics, RandomSource } from "@jaypass/kernel";
import type { ForwardingHostSettings, PlatformAdapter } from "./types.ts";

/** What the services of a forwarding host share. */
export interface HostContext {
  /** Settings at the start of the process. */
  settings: ForwardingHostSettings;
  /** Connection with the platform. */
  adapter: PlatformAdapter;
  /** Identity of the process. */
  incarnation: string;
  /** Time source. */
  clock: Clock;
  /** Source of random numbers. */
  random: RandomSource;
  /** Log. */
  log: Logger;
  /** Counters and histograms. */
  metrics: PrometheusMetrics;
}
