import type { Clock, Logger, PrometheusMetrics, RandomSource } from "@jaypass/kernel";
import type { ForwardingHostSettings, PlatformAdapter } from "./types.ts";

/** Dependencies that the services of a forwarding host share. */
export interface HostContext {
  /** Settings at the start of the process. */
  settings: ForwardingHostSettings;
  /** Reads the settings again, which may have changed without a signal; never rejects. */
  reloadSettings: () => Promise<void>;
  /** Adapter to the platform. */
  adapter: PlatformAdapter;
  /** Id of this run of the process. */
  incarnation: string;
  /** Time source. */
  clock: Clock;
  /** Source of random numbers. */
  random: RandomSource;
  log: Logger;
  /** Counters and histograms. */
  metrics: PrometheusMetrics;
}
