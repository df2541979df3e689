import type { BackendServerConfig } from "@jaypass/configuration";
import type { Millis } from "@jaypass/kernel";
import type { AcquireRequest, Grant, Lane } from "../types.ts";

/** Memory and one slot on a server, held by a grant. */
export interface Reservation {
  grantId: string;
  requestId: string;
  tokens: number;
  lane: Lane;
  fingerprint: string;
}

/** A request on a server that this coordinator did not grant, or whose end is not confirmed. */
export interface ForeignWork {
  requestId: string;
  tokens: number;
  /** Monotonic time after which it can no longer have an owner. */
  untilMs: Millis;
  /** Monotonic time at which it was added. */
  addedMs: Millis;
  /** Whether its host has released it, so that it may be cancelled before `untilMs`. */
  isReleased: boolean;
}

/** What the coordinator knows of one server. */
export interface ServerState {
  id: string;
  cfg: BackendServerConfig;
  /** Whether it may get grants: neither leaving nor in a data centre that is out of service. */
  isOpen: boolean;
  /** Whether its running work has been read since this coordinator started and since a crash. */
  isKnown: boolean;
  warmth: "cold" | "warming" | "warm";
  /** Concurrent requests allowed in its present state of warmth. */
  limit: number;
  /** Successful requests counted towards the next doubling of the limit. */
  successes: number;
  /** Monotonic time at which it was last marked as cold. */
  coldSinceMs: Millis;
  /** Monotonic time at which it was last marked as warm; older reports do not make it cold. */
  warmSinceMs: Millis;
  restartCount: number | undefined;
  /** Monotonic time at which the latest report was made, if it said that the server is warm. */
  warmReportMs: Millis | undefined;
  /** Monotonic time of the first report, until a later one has confirmed whether it is warm. */
  firstReportMs: Millis | undefined;
  /**
   * Whether a crash was recorded before the restart counter changed; the change is then ignored.
   */
  isRestartExpected: boolean;
  /** Requests whose connections broke lately; they become suspects if the server has crashed. */
  lostConnections: { fingerprint: string; atMs: Millis }[];
  /** Slots and memory held by this coordinator's grants, by grant id. */
  reservations: Map<string, Reservation>;
  grantedTokens: number;
  /** Work that this coordinator did not grant, by request id. */
  foreign: Map<string, ForeignWork>;
  foreignTokens: number;
  /** When the granted prefill work of a lane and of the lanes of higher priority ends. */
  freeAtMs: Record<Lane, Millis>;
  /** When the long prefill on it is expected to end; 0 without one. */
  longPrefillEndMs: Millis;
  /** When that prefill would end with exactly its minimum share of the engine's time. */
  longPrefillFairEndMs: Millis;
  /** Sequence number of the last cache event that was applied. */
  cacheEventSeq: number;
  /** Exponential moving average of the measured time to first token over the expected one. */
  slowness: number;
}

/** A host that reads the stream of a granted request. */
export interface GrantOwner {
  host: string;
  incarnation: string;
  address: string;
}

/** A grant with the data that the coordinator keeps about it. */
export interface GrantRecord {
  grant: Grant;
  req: AcquireRequest;
  acquireId: string;
  grantedMs: Millis;
  deadlineMs: Millis;
  expectedFirstTokenMs: Millis;
  prefillMs: Millis;
  tokensPerServer: number;
  /** Whether the server had no other prefill, so that the first token shows the server's speed. */
  isSpeedSample: boolean;
  /** Hosts that read its stream, by host id; the first one dispatched it. */
  owners: Map<string, GrantOwner>;
  /** Whether a host has reported it as held. */
  isReported: boolean;
  /** Whether an earlier coordinator issued it; it is then counted as foreign work. */
  isAdopted: boolean;
  /** Servers of the grant that crashed while it ran. */
  crashedServers: Set<string>;
}

/**
 * Creates the initial state of a server.
 *
 * @param id server id
 * @param cfg its configuration
 * @returns a cold server without work
 */
export function createServerState(id: string, cfg: BackendServerConfig): ServerState {
  return {
    id,
    cfg,
    isOpen: true,
    isKnown: false,
    warmth: "cold",
    limit: Math.min(cfg.coldLimit, cfg.warmLimit),
    successes: 0,
    coldSinceMs: 0,
    warmSinceMs: 0,
    restartCount: undefined,
    warmReportMs: undefined,
    firstReportMs: undefined,
    isRestartExpected: false,
    lostConnections: [],
    reservations: new Map(),
    grantedTokens: 0,
    foreign: new Map(),
    foreignTokens: 0,
    freeAtMs: { short: 0, medium: 0, long: 0 },
    longPrefillEndMs: 0,
    longPrefillFairEndMs: 0,
    cacheEventSeq: 0,
    slowness: 1,
  };
}
