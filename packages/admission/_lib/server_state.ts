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

/** Work on a server that this coordinator did not grant, or whose end is not yet confirmed. */
export interface ForeignWork {
  requestId: string;
  tokens: number;
  /** Monotonic time after which no live request can own it. */
  untilMs: Millis;
  /** When it was added to the accounts. */
  addedMs: Millis;
  /** Its host has given it up, so that it may be cancelled before that time. */
  isReleased: boolean;
}

/** What the coordinator knows of one server. */
export interface ServerState {
  id: string;
  cfg: BackendServerConfig;
  /** Neither leaving nor in a data centre that is out. */
  isOpen: boolean;
  /** Its running work has been read since this coordinator started. */
  isKnown: boolean;
  warmth: "cold" | "warming" | "warm";
  /** Concurrent requests allowed at its present warmth. */
  limit: number;
  /** Successes counted towards the next doubling of the limit. */
  successes: number;
  /** Monotonic time at which it last turned cold. */
  coldSinceMs: Millis;
  /** Monotonic time at which it last turned warm; older reports do not make it cold. */
  warmSinceMs: Millis;
  restartCount: number | undefined;
  /** Monotonic time at which the latest report was made, if it said that the server is warm. */
  warmReportMs: Millis | undefined;
  /** Monotonic time of the first report, until a later one has confirmed whether it is warm. */
  firstReportMs: Millis | undefined;
  /** A death was noticed before its restart counter changed, which must not count as another one. */
  isRestartExpected: boolean;
  /** Requests whose connection broke lately: they ran on it if it turns out to have died. */
  lostConnections: { fingerprint: string; atMs: Millis }[];
  reservations: Map<string, Reservation>;
  grantedTokens: number;
  foreign: Map<string, ForeignWork>;
  foreignTokens: number;
  /** When the granted prefill work of each lane and the lanes before it ends. */
  freeAtMs: Record<Lane, Millis>;
  /** When the long prefill on it is expected to end; 0 without one. */
  longPrefillEndMs: Millis;
  /** When that prefill ends with exactly its share of the engine's time. */
  longPrefillFairEndMs: Millis;
  /** Last cache event that was applied. */
  cacheEventSeq: number;
  /** Measured over expected time to first token, as a decaying average. */
  slowness: number;
}

/** A host that reads the stream of a granted request. */
export interface GrantOwner {
  host: string;
  incarnation: string;
  address: string;
}

/** A grant with what the coordinator needs to account for it. */
export interface GrantRecord {
  grant: Grant;
  req: AcquireRequest;
  acquireId: string;
  grantedMs: Millis;
  deadlineMs: Millis;
  expectedFirstTokenMs: Millis;
  prefillMs: Millis;
  tokensPerServer: number;
  /** The server had no other prefill when it was granted, so that its time measures the server. */
  isSpeedSample: boolean;
  /** Hosts that read its stream, by host id; the first is the one that sent it. */
  owners: Map<string, GrantOwner>;
  /** Whether a host has reported it as held. */
  isReported: boolean;
  /** Granted by an earlier coordinator, and therefore counted as foreign work. */
  isAdopted: boolean;
  /** Servers of the grant that died while it ran. */
  crashedServers: Set<string>;
}

/**
 * Creates the state of a server that nothing is known of.
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
