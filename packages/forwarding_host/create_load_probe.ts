import type { Clock, Logger, Metrics } from "@jaypass/kernel";
import type { EngineReport, PlacementServer } from "@jaypass/placement";
import { MAX_PROBED_ENGINES, PROBE_CACHE_MS, PROBE_TIMEOUT_MS } from "./constants.ts";
import type { EngineReports } from "./types.ts";

/** Options of {@linkcode createLoadProbe}. */
export interface LoadProbeOptions {
  /** Reads the load reports of engines. */
  reports: EngineReports;
  /** Monotonic time source. */
  clock: Clock;
  log: Logger;
  /** Receives a counter `probe` of the requested reports. */
  metrics: Metrics;
  /** Lists the engines to probe. */
  engines: () => PlacementServer[];
  /** Called with each report. */
  onReport: (serverId: string, report: EngineReport) => void;
}

/** Requests load reports of engines. */
export interface LoadProbe {
  /** Requests a report of each engine unless the last probe is recent; never rejects. */
  refresh(): Promise<void>;
}

/**
 * Creates a probe of the engines' load.
 *
 * It serves hosts that place requests without a hub, and hubs that some hosts are not linked to. It
 * is not used otherwise, since each requested report is counted as a probe.
 *
 * @param options engines and the receiver of their reports
 * @returns the probe
 *
 * @example
 * await probe.refresh();
 */
export function createLoadProbe(options: LoadProbeOptions): LoadProbe {
  const { reports, clock, log, metrics } = options;
  let lastProbeMs = -Infinity;
  let currentProbe: Promise<void> = Promise.resolve();

  const probeEngine = async (server: PlacementServer) => {
    metrics.increment("probe");
    try {
      const address = { address: server.address, serverId: server.id };
      options.onReport(server.id, await reports.read(address, PROBE_TIMEOUT_MS));
    } catch (err) {
      log.debug({ server: server.id, err: String(err) }, "Engine did not report its load");
    }
  };

  return {
    refresh() {
      if (clock.nowMs() - lastProbeMs < PROBE_CACHE_MS) return currentProbe;
      lastProbeMs = clock.nowMs();
      const engines = options.engines().slice(0, MAX_PROBED_ENGINES);
      currentProbe = Promise.all(engines.map(probeEngine)).then(() => {});
      return currentProbe;
    },
  };
}
