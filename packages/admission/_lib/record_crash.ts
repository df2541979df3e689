import type { PoolState } from "./pool_state.ts";
import type { ServerState } from "./server_state.ts";
import { markCold } from "./server_warmth.ts";

/**
 * Records the crash of a server: it is marked as cold, gets no grants until it answers again, and
 * the requests that ran on it become suspects.
 *
 * A fingerprint that ran on two servers when they crashed is quarantined. Its second run proves
 * that it is the cause, because a server runs at most one suspect at a time.
 *
 * @param pool the pool
 * @param server the server that crashed
 */
export function recordCrash(pool: PoolState, server: ServerState): void {
  const { clock, log, metrics, onQuarantine, onSuspects } = pool.options;
  const nowMs = clock.nowMs();
  const fingerprints = new Set<string>();
  for (
    const requestId of [...server.reservations.values(), ...server.foreign.values()].map((work) =>
      work.requestId
    )
  ) {
    for (const record of pool.grants.values()) {
      if (record.req.requestId !== requestId || record.crashedServers.has(server.id)) continue;
      if (!record.grant.servers.some(({ id }) => id === server.id)) continue;
      record.crashedServers.add(server.id);
      fingerprints.add(record.req.fingerprint);
    }
  }
  for (const { fingerprint } of server.lostConnections) fingerprints.add(fingerprint);
  server.lostConnections = [];
  const suspects = [...fingerprints].filter((fingerprint) => {
    const isQuarantined = pool.suspects.countCrash(fingerprint, server.id);
    if (isQuarantined) onQuarantine(fingerprint, server.id);
    return !isQuarantined;
  });
  if (suspects.length > 0) onSuspects(suspects, server.id);
  markCold(server, nowMs);
  server.isKnown = false;
  pool.prefixes.clear(server.id);
  server.cacheEventSeq = 0;
  server.freeAtMs = { short: 0, medium: 0, long: 0 };
  server.longPrefillEndMs = 0;
  metrics.increment("admission.server_died", { pool: pool.name, server: server.id });
  log.warn(
    { pool: pool.name, server: server.id, suspects },
    "Server crashed; it gets no grants until it answers again",
  );
}

/** Applies a restart counter that a server reported; a change means that the server has crashed. */
export function applyRestartCount(
  pool: PoolState,
  server: ServerState,
  restartCount: number,
): void {
  const known = server.restartCount;
  server.restartCount = restartCount;
  if (known === undefined || known === restartCount) return;
  if (server.isRestartExpected) server.isRestartExpected = false;
  else recordCrash(pool, server);
}

/** Records a crash reported by a host or by a refused connection, before the counter shows it. */
export function recordReportedCrash(pool: PoolState, server: ServerState): void {
  server.isRestartExpected = true;
  recordCrash(pool, server);
}
