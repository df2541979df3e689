import type { Millis } from "@jaypass/kernel";
import { GRANT_DISPATCH_WINDOW_MS, MIN_LONG_TIME_SHARE } from "../constants.ts";
import type { Grant } from "../types.ts";
import { LANES } from "./lanes.ts";
import type { WaitingRequest } from "./lanes.ts";
import type { PoolState } from "./pool_state.ts";
import { reserve } from "./server_capacity.ts";
import type { ServerState } from "./server_state.ts";

/** Servers and estimates of a grant to be issued. */
export interface GrantDecision {
  servers: ServerState[];
  tokensPerServer: number;
  prefillMs: Millis;
  firstTokenMs: Millis;
  explanation: string;
}

/** Removes a waiting request from the queue of its lane and from the claims. */
export function dequeueRequest(pool: PoolState, entry: WaitingRequest): void {
  pool.lanes.remove(entry);
  const index = pool.claims.indexOf(entry);
  if (index >= 0) pool.claims.splice(index, 1);
}

/**
 * Issues a grant: reserves slots and memory on all its servers at once and answers the pending
 * call.
 *
 * @param pool the pool
 * @param entry the waiting request, whose call must be pending
 * @param decision servers and estimates
 */
export function commitGrant(
  pool: PoolState,
  entry: WaitingRequest,
  decision: GrantDecision,
): void {
  const { options } = pool;
  const nowMs = options.clock.nowMs();
  const { req } = entry;
  const fencing = options.fencing();
  const grantId = `${pool.name}/${fencing}/${pool.nextGrantNumber++}`;
  const grant: Grant = {
    grantId,
    requestId: req.requestId,
    pool: pool.name,
    coordinator: options.address,
    servers: decision.servers.map(({ id, cfg, restartCount, isRestartExpected }) => ({
      id,
      url: cfg.url,
      dataCentre: cfg.dataCentre,
      restartCount: isRestartExpected ? undefined : restartCount,
    })),
    priority: LANES.indexOf(entry.lane),
    lane: entry.lane,
    fencing,
    dispatchWithinMs: GRANT_DISPATCH_WINDOW_MS,
    explanation: decision.explanation,
  };
  const isSpeedSample = decision.servers.length === 1 &&
    decision.servers[0]!.freeAtMs.long <= nowMs && entry.lane !== "long";
  for (const server of decision.servers) {
    reserve(server, {
      grantId,
      requestId: req.requestId,
      tokens: decision.tokensPerServer,
      lane: entry.lane,
      fingerprint: req.fingerprint,
    });
    pool.prefixes.add(server.id, req.prefixBlocks);
    // Only a server that is faster than configured changes the expected work. A late first token
    // does not prove that a server is slow, and counting more work for it would leave the server
    // idle.
    const workMs = decision.prefillMs * Math.min(1, server.slowness) / decision.servers.length;
    // While a long prefill has had less than its share of the engine's time, other prefills count
    // as longer, so that fewer of them are granted.
    const hasLongPrefill = entry.lane !== "long" && server.longPrefillEndMs > nowMs;
    const isBehind = hasLongPrefill && server.longPrefillEndMs > server.longPrefillFairEndMs;
    const countedMs = isBehind ? workMs / (1 - MIN_LONG_TIME_SHARE) : workMs;
    for (const lane of LANES.slice(LANES.indexOf(entry.lane))) {
      server.freeAtMs[lane] = Math.max(nowMs, server.freeAtMs[lane]) +
        (lane === "long" ? workMs : countedMs);
    }
    if (hasLongPrefill) server.longPrefillEndMs += workMs;
    if (entry.lane === "long") {
      server.longPrefillEndMs = server.freeAtMs.long;
      server.longPrefillFairEndMs = nowMs + (server.longPrefillEndMs - nowMs) / MIN_LONG_TIME_SHARE;
    }
  }
  pool.grants.set(grantId, {
    grant,
    req,
    acquireId: entry.acquireId,
    grantedMs: nowMs,
    deadlineMs: entry.deadlineMs,
    expectedFirstTokenMs: decision.firstTokenMs * decision.servers[0]!.slowness,
    prefillMs: decision.prefillMs,
    tokensPerServer: decision.tokensPerServer,
    isSpeedSample,
    owners: new Map([[entry.owner.host, entry.owner]]),
    isReported: false,
    isAdopted: false,
    crashedServers: new Set(),
  });
  pool.grantIdByAcquireId.set(entry.acquireId, grantId);
  pool.suspects.startRun(req.fingerprint, decision.servers[0]!.id);
  dequeueRequest(pool, entry);
  options.metrics.increment("admission.granted", { pool: pool.name, lane: entry.lane });
  options.metrics.timing("admission.wait", nowMs - entry.arrivedMs, { lane: entry.lane });
  entry.settle?.({ type: "granted", grant });
}
