import type { Clock, Logger, Metrics, Millis } from "@jaypass/kernel";
import { createLanes } from "./lanes.ts";
import type { Lanes, WaitingRequest } from "./lanes.ts";
import { createPrefixIndex } from "./prefix_index.ts";
import type { PrefixIndex } from "./prefix_index.ts";
import type { AllowedLimit } from "./server_capacity.ts";
import type { GrantRecord, ServerState } from "./server_state.ts";
import { createSuspects } from "./suspects.ts";
import type { Suspects } from "./suspects.ts";
import { createWorkloadMix } from "./workload_mix.ts";
import type { WorkloadMix } from "./workload_mix.ts";

/** Options of a scheduler, which its coordinator provides. */
export interface SchedulerOptions {
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  /** Peer address of this coordinator, written into grants. */
  address: string;
  /** Returns the part of a limit that the lease allows now. */
  allowedLimit: AllowedLimit;
  /** Whether grants may be issued now: the lease is valid and running work has been collected. */
  canGrant: () => boolean;
  /** Fencing number of the lease. */
  fencing: () => number;
  /** Whether a fingerprint is quarantined. */
  isQuarantined: (fingerprint: string) => boolean;
  /** Called when a fingerprint has crashed a second server. */
  onQuarantine: (fingerprint: string, serverId: string) => void;
  /** Called with the fingerprints that ran on a server when it crashed. */
  onSuspects: (fingerprints: string[], serverId: string) => void;
}

/** State that the coordinator of a pool keeps in memory. */
export interface PoolState {
  name: string;
  options: SchedulerOptions;
  servers: Map<string, ServerState>;
  lanes: Lanes;
  /** Waiting requests that claim engines, in the order in which they get them. */
  claims: WaitingRequest[];
  grants: Map<string, GrantRecord>;
  /** Grant ids by acquire id, to repeat an answer that was lost. */
  grantIdByAcquireId: Map<string, string>;
  /** When grants ended, by server and request id; kept while the server may still list them. */
  endedMs: Map<string, Map<string, Millis>>;
  workloadMix: WorkloadMix;
  prefixes: PrefixIndex;
  suspects: Suspects;
  /** Prefill speed of a warm engine; infinite for plain services. */
  prefillTokensPerSecond: number;
  /** Exponential moving average of the time for which grants are held. */
  averageHoldMs: Millis;
  /** Monotonic time of the last sweep for late and abandoned requests. */
  lastSweepMs: Millis;
  /** Number in the id of the next grant. */
  nextGrantNumber: number;
}

/** Creates the state of a pool without servers. */
export function createPoolState(name: string, options: SchedulerOptions): PoolState {
  return {
    name,
    options,
    servers: new Map(),
    lanes: createLanes(),
    claims: [],
    grants: new Map(),
    grantIdByAcquireId: new Map(),
    endedMs: new Map(),
    workloadMix: createWorkloadMix(options.clock),
    prefixes: createPrefixIndex(),
    suspects: createSuspects(options.clock),
    prefillTokensPerSecond: Infinity,
    averageHoldMs: 1_000,
    lastSweepMs: -Infinity,
    nextGrantNumber: 0,
  };
}

/** Lists the servers that may get new grants. */
export function openServers(pool: PoolState): ServerState[] {
  return [...pool.servers.values()].filter((server) => server.isOpen);
}

/** Number of engines that may run long prompts at the same time now. */
export function maxLongEngines(pool: PoolState): number {
  return pool.workloadMix.maxLongEngines(openServers(pool).length);
}
