import { ABANDONED_AFTER_MS, MAX_SCANNED_PER_LANE, OVERDUE_AFTER_MS } from "../constants.ts";
import { REFUSAL } from "../types.ts";
import type { Refusal } from "../types.ts";
import { chooseServer } from "./choose_server.ts";
import { commitGrant, dequeueRequest } from "./commit_grant.ts";
import { selectEngineSet } from "./select_engine_set.ts";
import { LANES } from "./lanes.ts";
import type { WaitingRequest } from "./lanes.ts";
import { maxLongEngines, openServers } from "./pool_state.ts";
import type { PoolState } from "./pool_state.ts";
import { freeSlots, freeTokens, isUsable } from "./server_capacity.ts";
import type { ServerState } from "./server_state.ts";

/** Refuses a waiting request. */
export function refuseRequest(pool: PoolState, entry: WaitingRequest, refusal: {
  reason: Refusal;
  message: string;
  retryAfterMs: number;
}): void {
  dequeueRequest(pool, entry);
  pool.options.metrics.increment("admission.refused", { pool: pool.name, reason: refusal.reason });
  entry.settle?.({ type: "refused", ...refusal });
}

/** Tokens that a claim needs on each of its engines. */
function claimTokens(entry: WaitingRequest): number {
  const need = entry.req.promptTokens + entry.req.maxTokens;
  return Math.ceil(need / (entry.claim?.length ?? 1));
}

/** Interval of sweeps; each one visits all waiting requests. */
const SWEEP_INTERVAL_MS = 20;

/** Removes abandoned requests, and refuses quarantined ones and those that are too late. */
function sweep(pool: PoolState, nowMs: number): void {
  if (nowMs - pool.lastSweepMs < SWEEP_INTERVAL_MS) return;
  pool.lastSweepMs = nowMs;
  for (const entry of [...pool.lanes.all()]) {
    if (entry.settle === undefined) {
      if (nowMs - entry.seenMs > ABANDONED_AFTER_MS) dequeueRequest(pool, entry);
    } else if (pool.options.isQuarantined(entry.req.fingerprint)) {
      refuseRequest(pool, entry, {
        reason: REFUSAL.QUARANTINED,
        message: "Request is quarantined because it crashed two servers",
        retryAfterMs: 60_000,
      });
    } else if (Math.min(entry.firstTokenDeadlineMs, entry.deadlineMs) <= nowMs + entry.prefillMs) {
      refuseRequest(pool, entry, {
        reason: REFUSAL.DEADLINE_UNREACHABLE,
        message: "Prefill can no longer finish before the deadline",
        retryAfterMs: 0,
      });
    }
  }
}

/** Whether any server has a free slot; without one the lanes need not be scanned. */
function hasFreeSlot(pool: PoolState, nowMs: number): boolean {
  for (const server of pool.servers.values()) {
    if (isUsable(server, nowMs) && freeSlots(server, pool.options.allowedLimit) >= 1) return true;
  }
  return false;
}

/**
 * Grants claims in the order of their arrival, each for all its engines or for none.
 *
 * Each round selects the engines of every claim again, among those that no earlier claim takes,
 * with the most free memory first. Engines fixed at arrival would be awaited even while others are
 * free (docs/measurements/admission.md).
 *
 * @returns the claims that still wait, by the ids of their servers
 */
function grantClaims(pool: PoolState, nowMs: number): Map<string, WaitingRequest> {
  const { allowedLimit } = pool.options;
  const claimed = new Map<string, WaitingRequest>();
  for (const entry of [...pool.claims]) {
    const set = selectEngineSet(entry.req, {
      servers: openServers(pool).filter(({ id }) => !claimed.has(id)),
      allowedLimit,
      isBusy: (server) => entry.lane === "long" && server.longPrefillEndMs > nowMs,
    });
    if (set === undefined) {
      // A claim that needs engines taken by earlier claims stops the later ones, which might take
      // the engines it waits for. One that fits nowhere at all, for example while the lease allows
      // only part of the limits, does not stop them.
      if (claimed.size > 0) break;
      continue;
    }
    entry.claim = set.servers;
    const ready = set.servers.map((id) => pool.servers.get(id)!);
    const need = claimTokens(entry);
    const isReady = entry.settle !== undefined &&
      ready.every((server) =>
        isUsable(server, nowMs) && !claimed.has(server.id) &&
        freeSlots(server, allowedLimit) >= 1 &&
        freeTokens(server, allowedLimit) >= need &&
        pool.suspects.mayRun(entry.req.fingerprint, server) &&
        (ready.length > 1 || entry.lane !== "long" || server.longPrefillEndMs <= nowMs)
      );
    if (!isReady) {
      for (const server of ready) if (!claimed.has(server.id)) claimed.set(server.id, entry);
      continue;
    }
    commitGrant(pool, entry, {
      servers: ready,
      tokensPerServer: need,
      prefillMs: entry.prefillMs,
      firstTokenMs: entry.prefillMs,
      explanation: `set of ${ready.length}, granted in the order of arrival`,
    });
  }
  return claimed;
}

/** Whether claims, the limit of long prompts and the isolation of suspects permit a server. */
function isPermitted(
  pool: PoolState,
  entry: WaitingRequest,
  server: ServerState,
  round: { claimed: Map<string, WaitingRequest>; longServers: Set<string>; maxLongServers: number },
): boolean {
  if (!pool.suspects.mayRun(entry.req.fingerprint, server)) return false;
  const claim = round.claimed.get(server.id);
  if (claim !== undefined) {
    if (entry.lane !== "short") return false;
    let shortTokens = entry.req.promptTokens + entry.req.maxTokens;
    for (const reservation of server.reservations.values()) {
      if (reservation.lane === "short") shortTokens += reservation.tokens;
    }
    if (shortTokens > pool.options.allowedLimit(server.cfg.memoryTokens) - claimTokens(claim)) {
      return false;
    }
  }
  if (entry.lane !== "long") return true;
  if (server.cfg.warmLimit > 1 && pool.servers.size === 1) return true;
  return round.longServers.has(server.id) || round.longServers.size < round.maxLongServers;
}

/** Claims servers for the first request of each lane if it is overdue. */
function claimForOverdue(pool: PoolState, nowMs: number): void {
  for (const lane of LANES) {
    const head = pool.lanes.of(lane)[0];
    if (head === undefined || head.claim !== undefined) continue;
    const fairMs = Math.min(
      OVERDUE_AFTER_MS[lane],
      lane === "short" ? Infinity : (head.firstTokenDeadlineMs - head.arrivedMs) / 4,
    );
    if (nowMs - head.arrivedMs < fairMs || pool.claims.some((claim) => claim.lane === lane)) {
      continue;
    }
    const set = selectEngineSet(head.req, {
      servers: openServers(pool),
      allowedLimit: pool.options.allowedLimit,
      isBusy: () => false,
    });
    if (set === undefined) continue;
    head.claim = set.servers;
    pool.claims.push(head);
  }
}

/**
 * Runs one scheduling round: refuses late requests, then grants those that fit.
 *
 * @param pool the pool
 */
export function runRound(pool: PoolState): void {
  const { options } = pool;
  const nowMs = options.clock.nowMs();
  sweep(pool, nowMs);
  if (pool.lanes.size === 0 || !options.canGrant()) return;
  claimForOverdue(pool, nowMs);
  const claimed = grantClaims(pool, nowMs);
  const maxLongServers = maxLongEngines(pool);
  for (const lane of LANES) {
    for (const entry of pool.lanes.of(lane).slice(0, MAX_SCANNED_PER_LANE)) {
      if (!hasFreeSlot(pool, nowMs)) return;
      if (entry.settle === undefined || (entry.claim?.length ?? 1) > 1) continue;
      const longServers = new Set<string>();
      if (lane === "long") {
        for (const server of pool.servers.values()) {
          if ([...server.reservations.values()].some((r) => r.lane === "long")) {
            longServers.add(server.id);
          }
        }
      }
      const round = { claimed, longServers, maxLongServers };
      const choice = chooseServer(entry, {
        servers: pool.servers.values(),
        allowedLimit: options.allowedLimit,
        nowMs,
        prefixes: pool.prefixes,
        prefillTokensPerSecond: pool.prefillTokensPerSecond,
        isSuspect: pool.suspects.isSuspect(entry.req.fingerprint),
        isPermitted: (server) => isPermitted(pool, entry, server, round),
      });
      if (choice === undefined) continue;
      commitGrant(pool, entry, {
        servers: [choice.server],
        tokensPerServer: entry.req.promptTokens + entry.req.maxTokens,
        prefillMs: choice.prefillMs,
        firstTokenMs: choice.firstTokenMs,
        explanation: `lowest estimated first token ${Math.round(choice.firstTokenMs)} ms, ` +
          `${choice.cachedTokens} tokens cached`,
      });
    }
  }
}
