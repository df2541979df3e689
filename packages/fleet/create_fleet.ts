import { sleep } from "@jaypass/kernel";
import type { Clock, Logger, Metrics, Millis, RandomSource, TaskGroup } from "@jaypass/kernel";
import {
  HOST_ROW_EXPIRY_MS,
  INVITE_INTERVAL_MS,
  STORE_TIMEOUT_MS,
  VIEW_STALE_MS,
} from "./constants.ts";
import { createHubClient } from "./create_hub_client.ts";
import type { PlaceTimeouts } from "./create_hub_client.ts";
import { createHubServer } from "./create_hub_server.ts";
import type { HubScheduler } from "./create_hub_server.ts";
import { createRowCache } from "./create_row_cache.ts";
import { createStoreFollower } from "./create_store_follower.ts";
import { TABLE } from "./types.ts";
import type { HostEntry, Row, RowBatch, RowStore, Table } from "./types.ts";

/** Options of {@linkcode createFleet}. */
export interface FleetOptions<Job, Decision, Report> {
  /** Entry of this host. */
  self: HostEntry;
  /** The platform's store. */
  store: RowStore;
  /** Decides while this host is a hub. */
  scheduler: HubScheduler<Job, Decision, Report>;
  /** Reports on all that runs here. */
  currentReports: () => Report[];
  /** The report that ends a job, for a hub that did not answer in time. */
  createCancelReport: (job: Job) => Report;
  /** Called after rows of a table changed. */
  onChange: (table: Table, changed: Row[]) => void;
  /** Monotonic time source. */
  clock: Clock;
  /** Source of random numbers. */
  random: RandomSource;
  /** Log. */
  log: Logger;
  /** Counters. */
  metrics: Metrics;
  /** Owner of all tasks. */
  tasks: TaskGroup;
}

/** The hosts together: rows that all follow, hubs that decide, and who is alive. */
export interface Fleet<Job, Decision, Report> {
  /** Starts to listen for links. */
  start(): Promise<void>;
  /** Takes this host out: it is no hub, no address and has no row any more. */
  leave(): Promise<void>;
  /** Closes all links. */
  stop(): void;
  /** Asks the hubs; undefined when none answers in time. */
  place(
    job: Job,
    timeouts: PlaceTimeouts,
  ): Promise<{ by: string; decision: Decision } | undefined>;
  /** Tells the hubs what this host does; `except` leaves out the hub that knows it already. */
  report(report: Report, options?: { except?: string }): void;
  /** Rows of a table. */
  rows(table: Table): Row[];
  /** Live hosts that take callers, this one included unless it leaves. */
  liveHosts(): HostEntry[];
  /** Number of hosts with a row, at least 1; used for a host's share of common limits. */
  hostCount(): number;
  /** True while this host is a hub and so decides for others. */
  isHub(): boolean;
  /** True when there are other hosts and none has a link to this one. */
  isIsolated(): boolean;
  /** Hosts with a row that have no link to this host, which is a hub. */
  unlinkedHostCount(): number;
  /** Milliseconds since the store came back from an absence; Infinity without one. */
  storeRecoveredAgoMs(): Millis;
}

/**
 * Creates this host's part of the fleet.
 *
 * @param options host, store and decisions
 * @returns the fleet, not yet started
 *
 * @example
 * const fleet = createFleet({ self, store, desk, ... });
 * await fleet.start();
 */
export function createFleet<Job, Decision, Report>(
  options: FleetOptions<Job, Decision, Report>,
): Fleet<Job, Decision, Report> {
  const { self, store, scheduler: desk, clock, random, log, metrics, tasks } = options;
  const cache = createRowCache();
  const startMs = clock.nowMs();
  let isLeaving = false;
  const isDraining = () => isLeaving;

  let known = [self];
  const knownHosts = (): HostEntry[] => known;
  const readKnownHosts = (): HostEntry[] => {
    const others = cache.rows(TABLE.HOSTS)
      .map((row) => JSON.parse(row.value ?? "") as HostEntry)
      .filter((entry) => entry.host !== self.host);
    return [self, ...others];
  };

  /** Merges rows and passes those that changed on. */
  const take = (table: Table, batch: RowBatch, origin: "store" | "member" | "hub") => {
    const sinceRevision = cache.revision(table);
    const before = new Map(batch.rows.map(({ key }) => [key, cache.find(table, key)]));
    const changed = cache.apply(table, batch);
    if (changed.length === 0) return;
    if (table === TABLE.HOSTS) known = readKnownHosts();
    options.onChange(table, changed);
    const revision = cache.revision(table) ?? batch.revision;
    const news: RowBatch = { revision, rows: changed, isWhole: false, sinceRevision };
    hubServer.broadcast(table, news, before);
    if (origin !== "hub") hubClient.sendRows(table, news);
  };

  const hubServer = createHubServer<Job, Decision, Report>({
    self,
    isDraining,
    scheduler: desk,
    changesSince: (table, revision) => cache.changesSince(table, revision),
    onRows: (table, batch) => take(table, batch, "member"),
    storeAge: () => ({
      ageMs: follower.ageMs(),
      recoveredAgoMs: follower.recoveredAgoMs(),
    }),
    knownHosts,
    hostRows: () => cache.changesSince(TABLE.HOSTS, undefined),
    isHub: () => hubClient.isHub(),
    clock,
    log,
    tasks,
  });

  const hubClient = createHubClient<Job, Decision, Report>({
    self,
    isDraining,
    scheduler: desk,
    knownHosts,
    currentReports: options.currentReports,
    createCancelReport: options.createCancelReport,
    revision: (table) => cache.revision(table),
    findRow: (table, key) => cache.find(table, key),
    onRows: (table, batch) => take(table, batch, "hub"),
    clock,
    log,
    tasks,
  });

  const follower = createStoreFollower({
    store,
    clock,
    random,
    log,
    metrics,
    tasks,
    shouldFollow: () => hubClient.shouldFollow(),
    onServersRead: () => hubClient.notifyServersRead(),
    revision: (table) => cache.revision(table),
    onBatch: (table, batch) => take(table, batch, "store"),
  });

  /** An absence that only some hosts saw is none: servers could write their rows meanwhile. */
  const storeRecoveredAgoMs = (): Millis => {
    const others = hubClient.recoveredAgoMs();
    if (others === undefined) return follower.recoveredAgoMs();
    return hubClient.isHub() ? Math.max(follower.recoveredAgoMs(), others) : others;
  };

  const isRegistered = () =>
    cache.rows(TABLE.HOSTS).some((row) =>
      row.key === self.host && row.value === JSON.stringify(self)
    );

  const register = async (signal: AbortSignal) => {
    while (!signal.aborted && !isLeaving) {
      if (!isRegistered()) {
        try {
          metrics.increment("store_call", { table: TABLE.HOSTS });
          const value = JSON.stringify(self);
          await store.writeRow(TABLE.HOSTS, self.host, value, {
            timeoutMs: STORE_TIMEOUT_MS,
            signal,
          });
        } catch (err) {
          log.warn({ err: String(err) }, "Host row not written");
        }
      }
      await sleep(INVITE_INTERVAL_MS, signal);
    }
  };

  const removeRow = async (row: Row) => {
    try {
      metrics.increment("store_call", { table: TABLE.HOSTS });
      await store.removeRow(TABLE.HOSTS, row.key, row.version, { timeoutMs: STORE_TIMEOUT_MS });
    } catch (err) {
      log.warn({ host: row.key, err: String(err) }, "Host row not removed");
    }
  };

  const removeDeadHosts = async (signal: AbortSignal) => {
    while (!signal.aborted) {
      await sleep(HOST_ROW_EXPIRY_MS / 2, signal);
      if (!hubClient.isHub() || isLeaving) continue;
      for (const row of cache.rows(TABLE.HOSTS)) {
        const goneMs = hubServer.disconnectedMs(row.key) ?? clock.nowMs() - startMs;
        if (row.key === self.host || goneMs < HOST_ROW_EXPIRY_MS) continue;
        log.info({ host: row.key, goneMs: Math.round(goneMs) }, "Removing row of lost host");
        await removeRow(row);
      }
    }
  };

  /** Live hosts as the nearest hub sees them; rows alone count while there is no hub. */
  const listLive = (): HostEntry[] => {
    const others = hubClient.isHub()
      ? hubServer.liveMembers()
      : hubClient.liveHosts() ?? (clock.nowMs() - startMs < VIEW_STALE_MS * 2 ? knownHosts() : []);
    const withoutSelf = others.filter((entry) => entry.host !== self.host);
    return isLeaving ? withoutSelf : [self, ...withoutSelf];
  };

  return {
    async start() {
      await hubServer.start();
      tasks.run("register host", register);
      tasks.run("remove dead hosts", removeDeadHosts);
    },
    async leave() {
      isLeaving = true;
      const own = cache.rows(TABLE.HOSTS).find((row) => row.key === self.host);
      if (own !== undefined) await removeRow(own);
    },
    stop() {
      hubServer.stop();
      hubClient.stop();
    },
    place: (job, timeouts) => hubClient.place(job, timeouts),
    report: (report, reportOptions) => hubClient.report(report, reportOptions),
    rows: (table) => cache.rows(table),
    liveHosts: listLive,
    isHub: () => hubClient.isHub(),
    isIsolated: () => knownHosts().length > 1 && hubServer.liveMembers().length === 0,
    unlinkedHostCount: () =>
      knownHosts().filter(({ host }) => host !== self.host && hubServer.disconnectedMs(host) !== 0)
        .length,
    hostCount: () => knownHosts().length,
    storeRecoveredAgoMs,
  };
}
