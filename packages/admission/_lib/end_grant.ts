import { SLOW_EXCESS_MS, SLOW_FACTOR } from "../constants.ts";
import { GRANT_OUTCOME } from "../types.ts";
import type { GrantResult } from "../types.ts";
import { LANES } from "./lanes.ts";
import type { PoolState } from "./pool_state.ts";
import { applyRestartCount, recordReportedCrash } from "./record_crash.ts";
import { removeForeign, setForeign, unreserve } from "./server_capacity.ts";
import type { GrantRecord, ServerState } from "./server_state.ts";
import { countSuccess, markCold } from "./server_warmth.ts";

/** Weight of a new observation in the exponential moving averages. */
const AVERAGE_WEIGHT = 0.1;
/** Shortest prefill that counts as a sample of a server's speed. */
const MIN_SPEED_SAMPLE_PREFILL_MS = 50;

/** Outcomes after which the server may still be running the request, until it shows otherwise. */
const UNCERTAIN_OUTCOMES: readonly string[] = [
  GRANT_OUTCOME.CANCELLED,
  GRANT_OUTCOME.CONNECTION_LOST,
  GRANT_OUTCOME.SERVER_DIED,
];

/** Updates a server's speed from a first token. @returns whether the token was unusually late */
function updateSlowness(record: GrantRecord, server: ServerState, firstTokenMs: number): boolean {
  const expectedMs = Math.max(1, record.expectedFirstTokenMs);
  const isSlow = firstTokenMs > expectedMs * SLOW_FACTOR &&
    firstTokenMs - expectedMs > SLOW_EXCESS_MS;
  if (!isSlow && record.isSpeedSample && record.prefillMs >= MIN_SPEED_SAMPLE_PREFILL_MS) {
    const target = Math.min(4, Math.max(0.25, firstTokenMs / record.prefillMs));
    server.slowness += AVERAGE_WEIGHT * (target - server.slowness);
  }
  return isSlow;
}

/** Updates the warmth, speed and crash records of the grant's first server from a result. */
function applyResult(pool: PoolState, record: GrantRecord, result: GrantResult): void {
  const first = pool.servers.get(record.grant.servers[0]!.id);
  const nowMs = pool.options.clock.nowMs();
  if (first === undefined) return;
  if (result.restartCount !== undefined) {
    applyRestartCount(pool, first, Math.max(first.restartCount ?? 0, result.restartCount));
  }
  if (result.outcome === GRANT_OUTCOME.SERVER_REFUSED) markCold(first, nowMs);
  if (result.outcome === GRANT_OUTCOME.NOT_DISPATCHED) {
    if (record.grant.lane === "long") first.longPrefillEndMs = 0;
    for (const lane of LANES.slice(LANES.indexOf(record.grant.lane))) {
      first.freeAtMs[lane] -= record.prefillMs * Math.min(1, first.slowness) /
        record.grant.servers.length;
    }
  }
  if (result.outcome !== GRANT_OUTCOME.DONE) return;
  pool.suspects.clear(record.req.fingerprint);
  if (result.totalMs !== undefined) {
    pool.averageHoldMs += AVERAGE_WEIGHT * (result.totalMs - pool.averageHoldMs);
  }
  const isSlow = result.firstTokenMs !== undefined &&
    updateSlowness(record, first, result.firstTokenMs);
  if (!isSlow) countSuccess(first, record.grantedMs, nowMs);
  else if (first.warmth === "warm") markCold(first, nowMs);
}

/**
 * Records the crash that a refusal because of a restart proves.
 *
 * The refused request did not run, so it is no suspect, and its reservation must be gone before the
 * crash is recorded.
 */
function recordRestart(pool: PoolState, record: GrantRecord, server: ServerState): void {
  if (record.crashedServers.has(server.id)) {
    pool.suspects.retractCrash(record.req.fingerprint);
    return;
  }
  const { restartCount } = record.grant.servers[0]!;
  if (server.restartCount === restartCount && !server.isRestartExpected) {
    recordReportedCrash(pool, server);
  }
}

/**
 * Ends a grant: frees its slots and memory, and applies its result to the state of the server.
 *
 * After an uncertain outcome the request is counted as foreign work until the server no longer
 * lists it, so that the server's limit also holds if the host was wrong.
 *
 * @param pool the pool
 * @param grantId id of the grant; an unknown id is ignored
 * @param result how the request ended
 * @returns the ended grant, or `undefined` when the id is unknown
 */
export function endGrant(
  pool: PoolState,
  grantId: string,
  result: GrantResult,
): GrantRecord | undefined {
  const record = pool.grants.get(grantId);
  if (record === undefined) return undefined;
  const first = pool.servers.get(record.grant.servers[0]!.id);
  // The crash is recorded before the reservations are removed, which show what ran on the server.
  if (
    result.outcome === GRANT_OUTCOME.SERVER_DIED && first !== undefined &&
    !record.crashedServers.has(first.id)
  ) recordReportedCrash(pool, first);
  if (result.outcome === GRANT_OUTCOME.CONNECTION_LOST && first !== undefined) {
    const { fingerprint } = record.req;
    if (!record.crashedServers.has(first.id)) {
      first.lostConnections.push({ fingerprint, atMs: pool.options.clock.nowMs() });
      pool.suspects.addPossibleCrash(fingerprint, first.id);
    }
  }
  pool.grants.delete(grantId);
  pool.grantIdByAcquireId.delete(record.acquireId);
  const nowMs = pool.options.clock.nowMs();
  for (const { id } of record.grant.servers) {
    const server = pool.servers.get(id);
    if (server === undefined) continue;
    const requestId = record.req.requestId;
    unreserve(server, grantId);
    removeForeign(server, requestId);
    const ended = pool.endedMs.get(id) ?? new Map<string, number>();
    pool.endedMs.set(id, ended.set(requestId, nowMs));
    if (UNCERTAIN_OUTCOMES.includes(result.outcome)) {
      const tokens = record.tokensPerServer;
      const untilMs = record.deadlineMs;
      setForeign(server, { requestId, tokens, untilMs, addedMs: nowMs, isReleased: true });
    }
  }
  pool.suspects.endRun(record.req.fingerprint, record.grant.servers[0]!.id);
  if (result.outcome === GRANT_OUTCOME.SERVER_RESTARTED && first !== undefined) {
    recordRestart(pool, record, first);
  }
  pool.options.metrics.increment("admission.ended", { pool: pool.name, outcome: result.outcome });
  applyResult(pool, record, result);
  return record;
}
