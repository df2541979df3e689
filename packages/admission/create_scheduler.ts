import type { BackendServerConfig, ModelConfig } from "@jaypass/configuration";
import type { Millis } from "@jaypass/kernel";
import { enqueueRequest, laneWaitMs } from "./_lib/enqueue_request.ts";
import type { AcquireCall } from "./_lib/enqueue_request.ts";
import { dequeueRequest } from "./_lib/commit_grant.ts";
import { endGrant } from "./_lib/end_grant.ts";
import { observeLoad } from "./_lib/observe_load.ts";
import type { ObservedLoad } from "./_lib/observe_load.ts";
import { createPoolState } from "./_lib/pool_state.ts";
import type { PoolState, SchedulerOptions } from "./_lib/pool_state.ts";
import { recordReportedCrash } from "./_lib/record_crash.ts";
import { runRound } from "./_lib/run_round.ts";
import { createServerState } from "./_lib/server_state.ts";
import type { GrantRecord } from "./_lib/server_state.ts";
import { markCold } from "./_lib/server_warmth.ts";
import type { GrantResult, Lane } from "./types.ts";

export type { AcquireCall } from "./_lib/enqueue_request.ts";
export type { AcquireDecision } from "./_lib/lanes.ts";
export type { PoolState, SchedulerOptions } from "./_lib/pool_state.ts";

/** A server of a pool with its configuration. */
export interface ScheduledServer {
  id: string;
  cfg: BackendServerConfig;
  /** Whether it may get grants: neither leaving nor in a data centre that is out of service. */
  isOpen: boolean;
}

/** Decides when and on which server each request of a pool runs. */
export interface Scheduler {
  /** Applies the configuration. Removed servers are kept until their running work has ended. */
  configure(servers: readonly ScheduledServer[], model: ModelConfig | undefined): void;
  /** Handles a call: a new request is queued, a known one keeps its place in the queue. */
  acquire(call: AcquireCall): void;
  /** Ends a call without an answer; the request keeps its place in the queue for a short time. */
  detach(acquireId: string): void;
  /** Removes a waiting request. */
  abandon(acquireId: string): void;
  /** Ends a grant. @returns the ended grant, or `undefined` when it is not known */
  end(grantId: string, result: GrantResult): GrantRecord | undefined;
  /** Applies a load report of a server. */
  observe(serverId: string, load: ObservedLoad): void;
  /** Records a refused connection: the server is cold, and its requests become suspects. */
  recordRefusedConnection(serverId: string): void;
  /** Runs a scheduling round; called at intervals too, because capacity becomes free with time. */
  run(): void;
  /** Estimates the wait in a lane, for hosts that choose a pool. */
  waitMs(lane: Lane): Millis;
  /** State of the pool, for the coordinator, operators and tests. */
  readonly pool: PoolState;
}

/**
 * Creates the scheduler of a pool, without servers at first.
 *
 * @param name pool name
 * @param options limits of the lease, quarantine and callbacks
 * @returns the scheduler
 *
 * @example
 * const scheduler = createScheduler("small@gent", { clock, allowedLimit: lease.allow, ... });
 * scheduler.configure(servers, document.models.small);
 */
export function createScheduler(name: string, options: SchedulerOptions): Scheduler {
  const pool = createPoolState(name, options);
  return {
    pool,
    configure(servers, model) {
      pool.prefillTokensPerSecond = model?.prefillTokensPerSecond ?? Infinity;
      for (const { id, cfg, isOpen } of servers) {
        const server = pool.servers.get(id);
        if (server === undefined) {
          pool.servers.set(id, { ...createServerState(id, cfg), isOpen });
          continue;
        }
        // A server that returns starts cold, because its load while it was out is not known.
        if ((isOpen && !server.isOpen) || server.cfg.url !== cfg.url) {
          markCold(server, options.clock.nowMs());
        }
        Object.assign(server, { cfg, isOpen });
        if (server.warmth === "warm") server.limit = cfg.warmLimit;
        else if (server.warmth === "cold") server.limit = Math.min(cfg.coldLimit, cfg.warmLimit);
        else server.limit = Math.min(server.limit, cfg.warmLimit);
      }
      const listed = new Set(servers.map(({ id }) => id));
      for (const server of pool.servers.values()) {
        if (listed.has(server.id)) continue;
        server.isOpen = false;
        if (server.reservations.size + server.foreign.size === 0) pool.servers.delete(server.id);
      }
      runRound(pool);
    },
    acquire(call) {
      const waiting = pool.lanes.find(call.acquireId);
      const record = pool.grants.get(pool.grantIdByAcquireId.get(call.acquireId) ?? "");
      if (record !== undefined && options.canGrant()) {
        // The answer was lost, so the grant is repeated with a new dispatch window.
        record.grantedMs = options.clock.nowMs();
        call.settle({ type: "granted", grant: record.grant });
      } else if (waiting === undefined) enqueueRequest(pool, call);
      else {
        waiting.settle?.({ type: "queued" });
        waiting.settle = call.settle;
        waiting.seenMs = options.clock.nowMs();
      }
      runRound(pool);
    },
    detach(acquireId) {
      const waiting = pool.lanes.find(acquireId);
      if (waiting === undefined) return;
      waiting.settle = undefined;
      waiting.seenMs = options.clock.nowMs();
    },
    abandon(acquireId) {
      const waiting = pool.lanes.find(acquireId);
      if (waiting !== undefined) dequeueRequest(pool, waiting);
    },
    end(grantId, result) {
      const record = endGrant(pool, grantId, result);
      if (record !== undefined) runRound(pool);
      return record;
    },
    observe(serverId, load) {
      const server = pool.servers.get(serverId);
      if (server !== undefined) observeLoad(pool, server, load);
    },
    recordRefusedConnection(serverId) {
      const server = pool.servers.get(serverId);
      if (server === undefined) return;
      // While the server stays down, only one crash is recorded.
      if (server.isKnown && server.reservations.size > 0) recordReportedCrash(pool, server);
      else markCold(server, options.clock.nowMs());
      server.isKnown = false;
    },
    run: () => runRound(pool),
    waitMs: (lane) => laneWaitMs(pool, lane, Infinity),
  };
}
