import type { Clock, Logger, Metrics, Millis } from "@jaypass/kernel";
import { SOUND_FAILURE_SHARE } from "@jaypass/placement";
import type { DegradedServer, PlacementServer } from "@jaypass/placement";
import {
  DEGRADED_LOG_INTERVAL_MS,
  MAX_PROBED_ENGINES,
  PACE_PROBE_INTERVAL_MS,
  PROBE_TIMEOUT_MS,
} from "./constants.ts";
import type { EngineReports } from "./types.ts";

/** Change of a speed factor that is logged. */
const FACTOR_STEP = 0.5;

/** Change of a share of failures that is logged. */
const SHARE_STEP = 0.1;

/** Options of {@linkcode createDegradedServerWatch}. */
export interface DegradedServerWatchOptions {
  /** Lists the servers that the hub's placer knows to be slow or to fail. */
  listDegraded: () => DegradedServer[];
  /** Lists the engines whose pace may be requested. */
  engines: () => PlacementServer[];
  /** Reads the load reports of engines. */
  reports: Pick<EngineReports, "read">;
  /** Called with the pace of an engine; undefined if its report has none. */
  onPace: (serverId: string, pace: number | undefined) => void;
  /** Monotonic time source. */
  clock: Clock;
  log: Logger;
  /** Receives the counter `pace_probe` and the gauges `slow_servers` and `failing_servers`. */
  metrics: Metrics;
}

/** Follows the servers that are slow or fail. */
export interface DegradedServerWatch {
  /** Logs changes, and requests the pace of engines that are or were slow; never rejects. */
  check(): Promise<void>;
}

/**
 * Creates the watch of a hub over servers that are slow or fail part of their requests.
 *
 * Meant for engines that become slower for some seconds. The pace that such an engine states settles
 * its speed before enough requests have shown it. Each report is priced as a probe, so that only
 * engines whose answers were late are asked, each at most once a second.
 *
 * @param options the placer's knowledge, and the receiver of paces
 * @returns the watch
 *
 * @example
 * await watch.check();
 */
export function createDegradedServerWatch(
  options: DegradedServerWatchOptions,
): DegradedServerWatch {
  const { reports, onPace, clock, log, metrics } = options;
  const askedMs = new Map<string, Millis>();
  const logged = new Map<string, DegradedServer & { atMs: Millis }>();

  const readPace = async ({ id, address }: PlacementServer) => {
    metrics.increment("pace_probe");
    try {
      const { pace } = await reports.read({ address, serverId: id }, PROBE_TIMEOUT_MS);
      onPace(id, pace);
    } catch (err) {
      log.debug({ server: id, err: String(err) }, "Engine did not report its pace");
    }
  };

  const hasChanged = (server: DegradedServer) => {
    const last = logged.get(server.serverId) ?? { factor: 1, failureShare: 0, atMs: -Infinity };
    if (clock.nowMs() - last.atMs < DEGRADED_LOG_INTERVAL_MS) return false;
    const isEnd = server.factor === 1 && server.failureShare === 0 &&
      (last.factor > 1 || last.failureShare > 0);
    return isEnd || Math.abs(server.factor - last.factor) >= FACTOR_STEP ||
      Math.abs(server.failureShare - last.failureShare) >= SHARE_STEP;
  };

  const logChanges = (degraded: readonly DegradedServer[]) => {
    const present = new Set(degraded.map(({ serverId }) => serverId));
    const ended = [...logged.keys()].filter((id) => !present.has(id))
      .map((serverId) => ({ serverId, factor: 1, failureShare: 0, wantsPace: false }));
    for (const server of [...degraded, ...ended].filter(hasChanged)) {
      const { serverId, factor, failureShare } = server;
      log.info(
        { server: serverId, factor: roundTo2(factor), failureShare: roundTo2(failureShare) },
        "Speed or failures of server changed",
      );
      if (present.has(serverId)) logged.set(serverId, { ...server, atMs: clock.nowMs() });
      else logged.delete(serverId);
    }
  };

  return {
    async check() {
      const degraded = options.listDegraded();
      logChanges(degraded);
      metrics.gauge("slow_servers", degraded.filter(({ factor }) => factor > 1).length);
      metrics.gauge(
        "failing_servers",
        degraded.filter(({ failureShare }) => failureShare >= SOUND_FAILURE_SHARE).length,
      );
      const nowMs = clock.nowMs();
      for (const [id, atMs] of askedMs) {
        if (nowMs - atMs >= PACE_PROBE_INTERVAL_MS) askedMs.delete(id);
      }
      const wanted = new Set(
        degraded.filter((server) => server.wantsPace)
          .map(({ serverId }) => serverId).filter((id) => !askedMs.has(id)),
      );
      if (wanted.size === 0) return;
      const asked = options.engines().filter(({ id }) => wanted.has(id))
        .slice(0, MAX_PROBED_ENGINES);
      for (const { id } of asked) askedMs.set(id, nowMs);
      await Promise.all(asked.map(readPace));
    },
  };
}

function roundTo2(value: number): number {
  return Math.round(value * 100) / 100;
}
