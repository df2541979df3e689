import type { PoolState } from "./pool_state.ts";
import type { ServerState } from "./server_state.ts";
import { turnCold } from "./server_warmth.ts";

/**
 * Records the death of a server: it turns cold, and the requests that ran on it become suspects.
 *
 * A suspect that was already one when it was granted is convicted: it is the only suspect that may
 * have run on this server.
 *
 * @param pool the pool
 * @param server the server that died
 */
export function recordDeath(pool: PoolState, server: ServerState): void {
  const nowMs = pool.options.clock.nowMs();
  const fingerprints = new Set<string>();
  for (const { grantId } of server.reservations.values()) {
    const record = pool.grants.get(grantId);
    if (record === undefined || record.deaths.has(server.id)) continue;
    record.deaths.add(server.id);
    fingerprints.add(record.req.fingerprint);
  }
  const fresh: string[] = [];
  for (const fingerprint of fingerprints) {
    if (pool.suspects.isSuspect(fingerprint)) pool.options.onConviction(fingerprint, server.id);
    else fresh.push(fingerprint);
  }
  for (const fingerprint of fresh) pool.suspects.add(fingerprint);
  if (fresh.length > 0) pool.options.onSuspects(fresh, server.id);
  turnCold(server, nowMs);
  pool.prefixes.clear(server.id);
  server.freeAtMs = { short: 0, medium: 0, long: 0 };
  pool.options.metrics.increment("admission.server_died", { pool: pool.name, server: server.id });
  pool.options.log.warn({ pool: pool.name, server: server.id, suspects: fresh }, "Server died");
}
