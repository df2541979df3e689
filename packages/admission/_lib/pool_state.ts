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

/** What a scheduler needs from its coordinator. */
export interface SchedulerOptions {
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  /** Peer address of this coordinator, written into grants. */
  address: string;
  /** The part of a limit that the lease allows now. */
  allowedLimit: AllowedLimit;
  /** Whether the lease and the collected state let grants be given at this moment. */
  canGrant: () => boolean;
  /** Fencing number of the lease. */
  fencing: () => number;
  /** Quarantined fingerprints. */
  isQuarantined: (fingerprint: string) => boolean;
  /** Called with a fingerprint that crashed a second server. */
  onQuarantine: (fingerprint: string, serverId: string) => void;
  /** Called with the fingerprints that ran on a server when it died. */
  onSuspects: (fingerprints: string[], serverId: string) => void;
}

/** The memory of a pool's coordinator. */
export interface PoolState {
  name: string;
  options: SchedulerOptions;
  servers: Map<string, ServerState>;
  lanes: Lanes;
  /** Waiting requests with declared engines, in the order in which they get them. */
  claims: WaitingRequest[];
  grants: Map<string, GrantRecord>;
  /** Grants by the id of the try that got them, for calls whose answer was lost. */
  grantIdByAcquireId: Map<string, string>;
  /** When grants ended, by server and request id; kept while lists may still show the request. */
  endedMs: Map<string, Map<string, Millis>>;
  workloadMix: WorkloadMix;
  prefixes: PrefixIndex;
  suspects: Suspects;
  /** Prefill speed of a warm engine; infinite for plain services. */
  prefillTokensPerSecond: number;
  /** Decaying average of the time for which grants are held. */
  averageHoldMs: Millis;
  /** When late and abandoned requests were last looked for. */
  lastSweepMs: Millis;
  /** Number of the next grant. */
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

/** Servers that may get new work. */
export function openServers(pool: PoolState): ServerState[] {
  return [...pool.servers.values()].filter((server) => server.isOpen);
}

/** Number of open engines on which long work may run now. */
export function maxLongEngines(pool: PoolState): number {
  return pool.workloadMix.maxLongEngines(openServers(pool).length);
}
