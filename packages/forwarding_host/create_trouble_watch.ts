import type { Clock, Logger, Metrics, Millis } from "@jaypass/kernel";
import { SOUND_FAILURE_SHARE } from "@jaypass/placement";
import type { PlacementServer, ServerTrouble } from "@jaypass/placement";
import {
  MAX_PROBED_ENGINES,
  PACE_PROBE_INTERVAL_MS,
  PROBE_TIMEOUT_MS,
  TROUBLE_LOG_INTERVAL_MS,
} from "./constants.ts";
import type { EngineReports } from "./types.ts";

/** Change of a speed factor that is logged. */
const FACTOR_STEP = 0.5;

/** Change of a share of failures that is logged. */
const SHARE_STEP = 0.1;

/** Options of {@linkcode createTroubleWatch}. */
export interface TroubleWatchOptions {
  /** Lists the servers that the hub's placer knows to be slow or to fail. */
  listTroubled: () => ServerTrouble[];
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
export interface TroubleWatch {
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
export function createTroubleWatch(options: TroubleWatchOptions): TroubleWatch {
  const { reports, onPace, clock, log, metrics } = options;
  const askedMs = new Map<string, Millis>();
  const logged = new Map<string, ServerTrouble & { atMs: Millis }>();

  const readPace = async ({ id, address }: PlacementServer) => {
    metrics.increment("pace_probe");
    try {
      const { pace } = await reports.read({ address, serverId: id }, PROBE_TIMEOUT_MS);
      onPace(id, pace);
    } catch (err) {
      log.debug({ server: id, err: String(err) }, "Engine did not report its pace");
    }
  };

  const hasChanged = (trouble: ServerTrouble) => {
    const last = logged.get(trouble.serverId) ?? { factor: 1, failureShare: 0, atMs: -Infinity };
    if (clock.nowMs() - last.atMs < TROUBLE_LOG_INTERVAL_MS) return false;
    const isEnd = trouble.factor === 1 && trouble.failureShare === 0 &&
      (last.factor > 1 || last.failureShare > 0);
    return isEnd || Math.abs(trouble.factor - last.factor) >= FACTOR_STEP ||
      Math.abs(trouble.failureShare - last.failureShare) >= SHARE_STEP;
  };

  const logChanges = (troubled: readonly ServerTrouble[]) => {
    const present = new Set(troubled.map(({ serverId }) => serverId));
    const ended = [...logged.keys()].filter((id) => !present.has(id))
      .map((serverId) => ({ serverId, factor: 1, failureShare: 0, wantsPace: false }));
    for (const trouble of [...troubled, ...ended].filter(hasChanged)) {
      const { serverId, factor, failureShare } = trouble;
      log.info(
        { server: serverId, factor: roundTo2(factor), failureShare: roundTo2(failureShare) },
        "Speed or failures of server changed",
      );
      if (present.has(serverId)) logged.set(serverId, { ...trouble, atMs: clock.nowMs() });
      else logged.delete(serverId);
    }
  };

  return {
    async check() {
      const troubled = options.listTroubled();
      logChanges(troubled);
      metrics.gauge("slow_servers", troubled.filter(({ factor }) => factor > 1).length);
      metrics.gauge(
        "failing_servers",
        troubled.filter(({ failureShare }) => failureShare >= SOUND_FAILURE_SHARE).length,
      );
      const nowMs = clock.nowMs();
      for (const [id, atMs] of askedMs) {
        if (nowMs - atMs >= PACE_PROBE_INTERVAL_MS) askedMs.delete(id);
      }
      const wanted = new Set(
        troubled.filter((trouble) => trouble.wantsPace)
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
