import type { EngineLoad } from "@jaypass/engines";
import type { PoolState } from "./pool_state.ts";
import { applyRestartCount } from "./record_crash.ts";
import type { ServerState } from "./server_state.ts";
import { markCold, markWarm } from "./server_warmth.ts";

/** The part of a load report that steers the limits. */
export type ObservedLoad = Pick<EngineLoad, "restartCount" | "warm" | "ageMs" | "models">;

/**
 * Applies a load report to a server.
 *
 * A changed restart counter makes the server cold at once and its running requests suspects. The
 * server's own word that it is warm is taken only after a takeover, from a report made after the first
 * one arrived; later the limit rises by successes alone. The first report may show a server as it was
 * before a crash, because reports lag.
 *
 * @param pool the pool
 * @param server the server
 * @param load its report
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
  // A lower counter is either an old report, which is ignored, or a report that was reset.
  const isOld = load.restartCount < known && load.ageMs >= nowMs - server.coldSinceMs;
  if (load.restartCount !== known) {
    if (!isOld) applyRestartCount(pool, server, load.restartCount);
  } else if (load.warm && server.firstReportMs !== undefined && madeMs >= server.firstReportMs) {
    server.firstReportMs = undefined;
    if (server.warmth === "cold") markWarm(server, nowMs);
  } else if (!load.warm && server.warmth === "warm" && load.ageMs < nowMs - server.warmSinceMs) {
    markCold(server, nowMs);
  }
  // A report made after a connection broke, with the same counter, shows that the server lives.
  for (const { fingerprint, atMs } of server.lostConnections) {
    if (atMs < madeMs) pool.suspects.removePossibleCrash(fingerprint, server.id);
  }
  server.lostConnections = server.lostConnections.filter(({ atMs }) => atMs >= madeMs);
}
