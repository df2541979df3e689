import type { Clock, Logger, Metrics } from "@jaypass/kernel";
import type { EngineReport, PlacementServer } from "@jaypass/placement";
import { MAX_PROBED_ENGINES, PROBE_CACHE_MS, PROBE_TIMEOUT_MS } from "./constants.ts";
import type { EngineReports } from "./types.ts";

/** Options of {@linkcode createLoadProbe}. */
export interface LoadProbeOptions {
  /** Reports of engines. */
  reports: EngineReports;
  /** Monotonic time source. */
  clock: Clock;
  /** Log. */
  log: Logger;
  /** Counters. */
  metrics: Metrics;
  /** Engines that may be used. */
  engines: () => PlacementServer[];
  /** Receives each report. */
  onReport: (serverId: string, report: EngineReport) => void;
}

/** Asks engines for their load. */
export interface LoadProbe {
  /** Asks all engines, unless that was done a moment ago; never fails. */
  refresh(): Promise<void>;
}

/**
 * Creates the probe of engines' load, for hosts that place without a hub and for hubs that some
 * hosts do not reach. It is not used otherwise, since each report is counted as a probe.
 *
 * @param options engines and the receiver of their reports
 * @returns the probe
 *
 * @example
 * await probe.refresh();
 */
export function createLoadProbe(options: LoadProbeOptions): LoadProbe {
  const { reports, clock, log, metrics } = options;
  let lastMs = -Infinity;
  let present: Promise<void> = Promise.resolve();

  const ask = async (server: PlacementServer) => {
    metrics.increment("probe");
    try {
      const address = { address: server.address, serverId: server.id };
      options.onReport(server.id, await reports.read(address, PROBE_TIMEOUT_MS));
    } catch (err) {
      log.debug({ server: server.id, err: String(err) }, "Engine did not report");
    }
  };

  return {
    refresh() {
      if (clock.nowMs() - lastMs < PROBE_CACHE_MS) return present;
      lastMs = clock.nowMs();
      const engines = options.engines().slice(0, MAX_PROBED_ENGINES);
      present = Promise.all(engines.map(ask)).then(() => {});
      return present;
    },
  };
}
