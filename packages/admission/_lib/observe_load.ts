import type { EngineLoad } from "@jaypass/engines";
import type { PoolState } from "./pool_state.ts";
import { applyRestartCount } from "./record_crash.ts";
import type { ServerState } from "./server_state.ts";
import { markCold, markWarm } from "./server_warmth.ts";

/** The fields of a load report that determine a server's limit. */
export type ObservedLoad = Pick<EngineLoad, "restartCount" | "warm" | "ageMs" | "models">;

/**
 * Applies a load report to a server.
 *
 * A changed restart counter marks the server as cold at once and its running requests as suspects.
 *
 * A report that the server is warm raises the limit only after a takeover, and only if it was made
 * after the first report arrived: reports lag, so that the first one may show the state before a
 * crash. From then on the limit rises only with successful requests.
 *
 * @param pool the pool
 * @param server the server
 * @param load the load report
 */
export function observeLoad(pool: PoolState, server: ServerState, load: ObservedLoad): void {
  const nowMs = pool.options.clock.nowMs();
  server.warmReportMs = load.warm ? nowMs - load.ageMs : undefined;
  const known = server.restartCount;
  if (known === undefined) {
    server.restartCount = load.restartCount;
    server.firstReportMs = nowMs;
    return;
  }
  const madeMs = nowMs - load.ageMs;
  // A lower counter means that the report is old, and ignored, or that the counter was reset.
  const isOld = load.restartCount < known && load.ageMs >= nowMs - server.coldSinceMs;
  if (load.restartCount !== known) {
    if (!isOld) applyRestartCount(pool, server, load.restartCount);
  } else if (load.warm && server.firstReportMs !== undefined && madeMs >= server.firstReportMs) {
    server.firstReportMs = undefined;
    if (server.warmth === "cold") markWarm(server, nowMs);
  } else if (!load.warm && server.warmth === "warm" && load.ageMs < nowMs - server.warmSinceMs) {
    markCold(server, nowMs);
  }
  // A report made after a connection broke, with the same counter, shows that there was no crash.
  for (const { fingerprint, atMs } of server.lostConnections) {
    if (atMs < madeMs) pool.suspects.removePossibleCrash(fingerprint, server.id);
  }
  server.lostConnections = server.lostConnections.filter(({ atMs }) => atMs >= madeMs);
}
