import type { Millis } from "@jaypass/kernel";
import { classifyLane } from "../classify_lane.ts";
import { MAX_WAITING_REQUESTS, USABLE_DEADLINE_SHARE } from "../constants.ts";
import { LANE, REFUSAL } from "../types.ts";
import type { AcquireRequest, Lane } from "../types.ts";
import { selectEngineSet } from "./select_engine_set.ts";
import { estimateWait } from "./estimate_wait.ts";
import { LANES } from "./lanes.ts";
import type { AcquireDecision, WaitingRequest } from "./lanes.ts";
import { maxLongEngines, openServers } from "./pool_state.ts";
import type { PoolState } from "./pool_state.ts";
import { refuseRequest } from "./run_round.ts";

/** One `Acquire` call as it is passed to the scheduler. */
export interface AcquireCall {
  /** Identifies one attempt to acquire a grant for a request; repeated calls have the same id. */
  acquireId: string;
  req: AcquireRequest;
  owner: WaitingRequest["owner"];
  settle: (decision: AcquireDecision) => void;
}

/** Estimates how long a request with the given first-token deadline waits in a lane. */
export function laneWaitMs(pool: PoolState, lane: Lane, firstTokenDeadlineMs: Millis): Millis {
  return estimateWait(lane, firstTokenDeadlineMs, {
    lanes: pool.lanes,
    servers: openServers(pool),
    allowedLimit: pool.options.allowedLimit,
    nowMs: pool.options.clock.nowMs(),
    maxLongEngines: maxLongEngines(pool),
    averageHoldMs: pool.averageHoldMs,
  });
}

/** Estimates whether every request in a lane still meets its first-token deadline. */
function isLaneOnTime(pool: PoolState, lane: Lane): boolean {
  const nowMs = pool.options.clock.nowMs();
  const engines = lane === LANE.LONG ? maxLongEngines(pool) : openServers(pool).length;
  const first = pool.lanes.of(lane)[0];
  if (first === undefined) return true;
  let startMs = nowMs + laneWaitMs(pool, lane, -Infinity);
  for (const entry of pool.lanes.of(lane)) {
    if (startMs + entry.prefillMs > entry.firstTokenDeadlineMs) return false;
    startMs += entry.prefillMs / Math.max(1, engines);
  }
  return true;
}

/** Refuses the latest arrival of the lane with the longest estimated wait. */
function shedRequest(pool: PoolState): void {
  const nowMs = pool.options.clock.nowMs();
  const [longest] = LANES.filter((lane) => pool.lanes.of(lane).length > 0)
    .map((lane) => ({ lane, waitMs: laneWaitMs(pool, lane, Infinity) }))
    .sort((a, b) => b.waitMs - a.waitMs);
  if (longest === undefined) return;
  const latest = pool.lanes.of(longest.lane)
    .reduce((a, b) => (b.arrivedMs >= a.arrivedMs ? b : a));
  refuseRequest(pool, latest, {
    reason: REFUSAL.OVERLOADED,
    message: `More than ${MAX_WAITING_REQUESTS} requests are waiting, estimated wait ${
      Math.round(longest.waitMs)
    } ms`,
    retryAfterMs: Math.max(100, Math.min(longest.waitMs, latest.deadlineMs - nowMs)),
  });
}

/**
 * Adds a new request to the queue of its lane, or refuses it immediately.
 *
 * It is refused when it is quarantined, when no server of the pool can run it, or when it or a
 * request in its lane would miss a deadline.
 *
 * @param pool the pool
 * @param call the request with its pending call
 */
export function enqueueRequest(pool: PoolState, call: AcquireCall): void {
  const { clock, isQuarantined } = pool.options;
  const { req } = call;
  const nowMs = clock.nowMs();
  const servers = openServers(pool);
  const cached = Math.max(
    0,
    ...servers.map(({ id }) => pool.prefixes.cachedTokens(id, req.prefixBlocks)),
  );
  const uncached = Math.max(0, req.promptTokens - cached);
  const entry: WaitingRequest = {
    ...call,
    lane: classifyLane(uncached),
    prefillMs: uncached / pool.prefillTokensPerSecond * 1_000,
    arrivedMs: nowMs,
    firstTokenDeadlineMs: nowMs + Math.min(req.firstTokenRemainingMs, req.remainingMs),
    deadlineMs: nowMs + req.remainingMs,
    seenMs: nowMs,
    claim: undefined,
  };
  const refuse = (reason: typeof REFUSAL[keyof typeof REFUSAL], message: string, waitMs = 1_000) =>
    refuseRequest(pool, entry, { reason, message, retryAfterMs: waitMs });

  if (isQuarantined(req.fingerprint)) {
    return refuse(
      REFUSAL.QUARANTINED,
      "Request is quarantined because it crashed two servers",
      60_000,
    );
  }
  if (servers.length === 0) {
    return refuse(REFUSAL.DATA_CENTRE_OUT, "No server of the pool is in service");
  }
  const usable = servers.filter(({ id }) => !req.exclude.includes(id));
  if (usable.length === 0) {
    return refuse(REFUSAL.NO_CAPACITY, "All servers of the pool have already failed this request");
  }
  if (servers[0]!.cfg.kind === "engine") {
    const options = { servers, isBusy: () => false };
    if (selectEngineSet(req, { ...options, allowedLimit: (limit) => limit }) === undefined) {
      return refuse(
        REFUSAL.PROMPT_TOO_LARGE,
        `Prompt of ${req.promptTokens} tokens exceeds the memory of the pool`,
      );
    }
    const set = selectEngineSet(req, {
      servers,
      allowedLimit: pool.options.allowedLimit,
      isBusy: () => false,
    });
    if (set === undefined) {
      return refuse(
        REFUSAL.NO_CAPACITY,
        "Prompt exceeds the share of the pool's memory that the lease allows at present",
        10_000,
      );
    }
    if (set.servers.length > 1) {
      entry.claim = set.servers;
      entry.lane = LANE.LONG;
    }
  }
  pool.workloadMix.add(entry.lane, entry.prefillMs);
  const waitMs = laneWaitMs(pool, entry.lane, entry.firstTokenDeadlineMs);
  const slowdown = entry.lane === LANE.LONG
    ? pool.workloadMix.longPrefillSlowdown(servers.length)
    : 1;
  const firstTokenMs = waitMs + entry.prefillMs * slowdown;
  if (firstTokenMs > (entry.firstTokenDeadlineMs - nowMs) * USABLE_DEADLINE_SHARE) {
    return refuse(
      REFUSAL.DEADLINE_UNREACHABLE,
      `Estimated time to first token of ${
        Math.round(firstTokenMs)
      } ms is too close to the deadline`,
      waitMs,
    );
  }
  pool.lanes.add(entry);
  if (!isLaneOnTime(pool, entry.lane)) {
    return refuse(
      REFUSAL.DEADLINE_UNREACHABLE,
      "Request would make its lane miss a first-token deadline",
      Math.max(100, waitMs),
    );
  }
  if ((entry.claim?.length ?? 1) > 1) pool.claims.push(entry);
  if (pool.lanes.size > MAX_WAITING_REQUESTS) shedRequest(pool);
}
