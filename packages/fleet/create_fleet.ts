import { ESSENTIAL, sleep, sleepUntilTick } from "@jaypass/kernel";
import type { Clock, Logger, Metrics, Millis, RandomSource, TaskGroup } from "@jaypass/kernel";
import {
  FLEET_TICK_MS,
  HOST_ROW_EXPIRY_MS,
  HOST_ROW_TRUST_MS,
  INVITE_INTERVAL_MS,
  STORE_TIMEOUT_MS,
} from "./constants.ts";
import { computeStaleMs } from "./compute_stale_ms.ts";
import { createHubClient } from "./create_hub_client.ts";
import type { PlaceTimeouts } from "./create_hub_client.ts";
import { createHubServer } from "./create_hub_server.ts";
import type { HubScheduler } from "./create_hub_server.ts";
import { createRowCache } from "./create_row_cache.ts";
import { createStoreFollower } from "./create_store_follower.ts";
import { createTableAges } from "./create_table_ages.ts";
import { decodeRevision } from "./decode_revision.ts";
import { checkHostRow } from "./_lib/check_host_row.ts";
import { createInvalidRowLog } from "./_lib/create_invalid_row_log.ts";
import { createLinkTraffic } from "./_lib/create_link_traffic.ts";
import { createStaleTableLog } from "./_lib/create_stale_table_log.ts";
import type { MessageEncoders, MessageParsers } from "./messages.ts";
import { parseHostEntry } from "./parse_host_entry.ts";
import { rankAmongHosts } from "./rank_among_hosts.ts";
import { TABLE } from "./types.ts";
import type { Gossip, HostEntry, Row, RowBatch, RowStore, Table } from "./types.ts";

/** Options of {@linkcode createFleet}. */
export interface FleetOptions<Job, Decision, Report> {
  /** Entry of this host. */
  self: HostEntry;
  /** The platform's store. */
  store: RowStore;
  /** Places jobs while this host is a hub. */
  scheduler: HubScheduler<Job, Decision, Report>;
  /** Returns reports on all jobs that run on this host. */
  currentReports: () => Report[];
  /** Creates the report that cancels a job, for a hub that did not answer in time. */
  createCancelReport: (job: Job) => Report;
  /** Returns a job with its current times, after it has waited for a hub. */
  ageJob: (job: Job, waitedMs: Millis) => Job;
  /** Facts that every host should know; none by default. */
  gossip?: Gossip;
  /** Parsers of jobs, decisions and reports that other hosts send. */
  parsers: MessageParsers<Job, Decision, Report>;
  /** Encoders of jobs, decisions and reports for other hosts; by default they are sent as they are. */
  encoders?: MessageEncoders<Job, Decision, Report>;
  /**
   * Checks a row of servers or operators that another host sent. It returns the row, or one without
   * content that names the problem. The store's client checks the rows that it reads.
   */
  checkRow: (table: Table, row: Row) => Row;
  /**
   * Reports whether a row of servers or operators in a restored store, which is older than the known one,
   * must not replace it; by default it does.
   */
  isSetBack?: (table: Table, rows: { known: Row; restored: Row }) => boolean;
  /** Called after rows of a table have changed. */
  onChange: (table: Table, changed: Row[]) => void;
  /** Monotonic time source. */
  clock: Clock;
  /** Source of random numbers. */
  random: RandomSource;
  /** Logs changes of links, hubs and the store's availability. */
  log: Logger;
  /** Counts store calls, failures and rows that cannot be used. */
  metrics: Metrics;
  /** Runs all background tasks. */
  tasks: TaskGroup;
}

const readEra = (revision: number): number => decodeRevision(revision).era;

/** Reports whether a row has been written again, without a change, since the store came back from a copy. */
const isConfirmed = (before: Row | undefined, now: Row | undefined): boolean =>
  before !== undefined && now !== undefined && before.value === now.value &&
  readEra(before.version) < readEra(now.version);

const PLAIN_ENCODERS: MessageEncoders<unknown, unknown, unknown> = {
  encodeJob: (job) => job,
  encodeDecision: (decision) => decision,
  encodeReport: (report) => report,
};

const NO_GOSSIP: Gossip = { list: () => [], receive: () => {} };

/** Where rows come from. */
type RowOrigin = "store" | "member" | "hub";

/** A host's view of all hosts: shared rows, the hubs that place jobs, and the live hosts. */
export interface Fleet<Job, Decision, Report> {
  /** Starts to listen for links. */
  start(): Promise<void>;
  /** Takes this host out of service as a hub and as an address for callers; removes its row. */
  leave(): Promise<void>;
  /** Closes all links. */
  stop(): void;
  /** Asks the hubs to place a job; undefined when none decides in time. */
  place(
    job: Job,
    timeouts: PlaceTimeouts,
  ): Promise<{ by: string; decision: Decision } | undefined>;
  /** Sends a report to the hubs; `except` is the name of a hub that already knows it. */
  report(report: Report, options?: { except?: string }): void;
  /** Sends facts to all hubs and members of this host. */
  sendGossip(items: unknown[]): void;
  /** Rows of a table. */
  rows(table: Table): Row[];
  /** Live hosts that accept callers, this one included unless it is leaving. */
  liveHosts(): HostEntry[];
  /** Number of other live hosts that accept callers; undefined while no hub tells. */
  liveOtherCount(): number | undefined;
  /** Number of hosts with a row, at least 1. */
  hostCount(): number;
  /**
   * Share of the limits of all hosts that this host may use as a hub: the share of the hosts that
   * have a link to it. Hosts that cannot reach each other may have different hubs at the same time.
   * 0 until this host has read the hosts.
   */
  hubLimitShare(): number;
  /** The share that it may use alone; 0 until it has read the hosts. */
  ownLimitShare(): number;
  /** Position of this host among the hosts with a row, in an order that depends on the key. */
  rankAmongHosts(key: string): number;
  /** Milliseconds since this host became a hub; 0 while it is none. */
  hubForMs(): Millis;
  /**
   * Milliseconds since a member of this host has given up its link and may have turned to another hub;
   * Infinity if none has.
   */
  memberLostAgoMs(): Millis;
  /** Reports whether a host with a row accepts callers or links at an address. */
  hasHostAt(address: string): boolean;
  /** True while this host is a hub and places jobs of other hosts. */
  isHub(): boolean;
  /** True when there are other hosts and none of them has a link to this one. */
  isIsolated(): boolean;
  /** Number of other hosts with a row and without a link to this host, which is a hub. */
  unlinkedHostCount(): number;
  /** Milliseconds since the last outage of the store ended; Infinity when there was none. */
  storeRecoveredAgoMs(): Millis;
}

/**
 * Creates a host's connection to the fleet: it keeps the cached rows up to date, links to the hubs
 * and acts as a hub when it is selected.
 *
 * @param options host, store and scheduler
 * @returns the fleet, not yet started
 *
 * @example
 * const fleet = createFleet({ self, store, scheduler, ... });
 * await fleet.start();
 */
export function createFleet<Job, Decision, Report>(
  options: FleetOptions<Job, Decision, Report>,
): Fleet<Job, Decision, Report> {
  const { self, store, scheduler, clock, random, log, metrics, tasks } = options;
  const { gossip = NO_GOSSIP, encoders = PLAIN_ENCODERS } = options;
  const cache = createRowCache({
    // A running host writes its row again, so the older state of a row is never needed.
    isSetBack: (table, rows) => table === TABLE.HOSTS || options.isSetBack?.(table, rows) === true,
  });
  const ages = createTableAges(clock);
  const startMs = clock.nowMs();
  let isLeaving = false;
  const isDraining = () => isLeaving;

  const reportInvalidRows = createInvalidRowLog({ log, metrics });

  let known = [self];
  const knownHosts = (): HostEntry[] => known;
  const readKnownHosts = (): HostEntry[] => {
    const others = cache.rows(TABLE.HOSTS)
      .map((row) => parseHostEntry(JSON.parse(row.value ?? "")))
      .filter((entry) => entry.host !== self.host);
    return [self, ...others];
  };

  const checkRows = (table: Table, rows: Row[], origin: RowOrigin): Row[] => {
    if (table === TABLE.HOSTS) return rows.map(checkHostRow);
    return origin === "store" ? rows : rows.map((row) => options.checkRow(table, row));
  };

  /**
   * Merges rows and forwards the changed ones. Rows of a hub are not sent back to the hubs, and those of
   * the store are sent to them even if this host knew them, since a hub may not.
   */
  const applyBatch = (
    table: Table,
    received: RowBatch,
    origin: RowOrigin,
    { isConfirmation = false } = {},
  ) => {
    const batch = { ...received, rows: checkRows(table, received.rows, origin) };
    // A row that another host found invalid is logged there.
    const reportedKeys = new Set(
      received.rows.filter(({ problem }) => problem).map(({ key }) => key),
    );
    reportInvalidRows(
      table,
      origin === "store" ? batch.rows : batch.rows.filter(({ key }) => !reportedKeys.has(key)),
    );
    const sinceRevision = cache.revision(table);
    const before = new Map(batch.rows.map(({ key }) => [key, cache.find(table, key)]));
    const changed = cache.apply(table, batch, { isFromHub: origin === "hub", isConfirmation });
    // A hub that gets a whole table removes no row from before a restore, only rows listed as removed.
    const removed = isConfirmation ? changed.filter(({ value }) => value === undefined) : [];
    const read = { ...batch, rows: [...batch.rows, ...removed] };
    if (origin === "store" && read.rows.length > 0) hubClient.sendRows(table, read);
    const isRestored = sinceRevision !== undefined &&
      readEra(batch.revision) > readEra(sinceRevision);
    if (isRestored) {
      log.warn(
        { table, origin, era: readEra(batch.revision), changed: changed.length, [ESSENTIAL]: true },
        "Store has come back from a copy",
      );
    }
    const confirmed = batch.rows.filter(({ key }) =>
      isConfirmed(before.get(key), cache.find(table, key))
    );
    if (changed.length === 0 && confirmed.length === 0 && !isRestored) return;
    if (table === TABLE.OPERATORS) {
      const { revision } = batch;
      log.info({ origin, revision, [ESSENTIAL]: true }, "Rows of the operators changed");
    }
    if (table === TABLE.HOSTS) {
      known = readKnownHosts();
      hubClient.reviewHubs({ isFirstRead: sinceRevision === undefined });
    }
    options.onChange(table, changed);
    const revision = cache.revision(table) ?? batch.revision;
    // Only a whole table tells which rows are gone, or which ones a restored store still has.
    const changes: RowBatch = sinceRevision === undefined || isRestored
      ? cache.changesSince(table, undefined)
      : { revision, rows: [...changed, ...confirmed], isWhole: false, sinceRevision };
    hubServer.broadcast(table, changes, before);
    if (origin === "member") hubClient.sendRows(table, changes);
  };

  const traffic = createLinkTraffic(metrics);

  const hubServer = createHubServer<Job, Decision, Report>({
    self,
    isDraining,
    scheduler,
    changesSince: (table, revision) => cache.changesSince(table, revision),
    onRows: (table, batch) => applyBatch(table, batch, "member"),
    readAgoMs: (table) => follower.ageMs(table),
    recoveredAgoMs: () => follower.recoveredAgoMs(),
    revision: (table) => cache.revision(table),
    isStale: (table) => ages.of(table).ageMs >= computeStaleMs(table),
    onMemberRead(table, span) {
      if (span !== undefined && !cache.extend(table, span)) return false;
      ages.record(table, { ageMs: 0, hubAgeMs: Infinity });
      return true;
    },
    knownHosts,
    hostRows: () => cache.changesSince(TABLE.HOSTS, undefined),
    gossip,
    isHub: () => hubClient.isHub(),
    parsers: options.parsers,
    encoders,
    traffic,
    clock,
    log,
    tasks,
  });

  const hubClient = createHubClient<Job, Decision, Report>({
    self,
    isDraining,
    scheduler,
    knownHosts,
    currentReports: options.currentReports,
    createCancelReport: options.createCancelReport,
    ageJob: options.ageJob,
    revision: (table) => cache.revision(table),
    revisionForHub: (table) => cache.revisionForHub(table),
    changesSince: (table, revision) => cache.changesSince(table, revision),
    findRow: (table, key) => cache.find(table, key),
    tableAge: (table) => ages.of(table),
    onTableAge: (table, age) => ages.record(table, age),
    onRows: (table, batch) => applyBatch(table, batch, "hub"),
    gossip,
    parsers: options.parsers,
    encoders,
    traffic,
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
    shouldFollow: (table) => hubClient.shouldFollow(table),
    onRead(table, { revision, sinceRevision = revision }) {
      ages.record(table, { ageMs: 0, hubAgeMs: hubClient.isHub() ? 0 : Infinity });
      hubClient.notifyRead(table, { since: sinceRevision, until: revision });
    },
    revision: (table) => cache.revision(table),
    hasUnconfirmedRows: (table) => cache.hasUnconfirmedRows(table),
    onBatch: (table, batch, origin) => applyBatch(table, batch, "store", origin),
  });

  const checkTableAges = createStaleTableLog({
    ageOf: (table) => ages.of(table),
    describeHubs: () => ({ isHub: hubClient.isHub(), hubs: hubClient.describeHubs() }),
    clock,
    log,
    metrics,
  });

  /**
   * An outage counts only when all hubs observed it. As long as some hosts reached the store, the
   * servers may have reached it, too, and kept their rows up to date.
   */
  const storeRecoveredAgoMs = (): Millis => {
    const others = hubClient.recoveredAgoMs();
    if (others === undefined) return follower.recoveredAgoMs();
    return hubClient.isHub() ? Math.max(follower.recoveredAgoMs(), others) : others;
  };

  const isRegistered = () => {
    const row = cache.find(TABLE.HOSTS, self.host);
    if (row?.value !== JSON.stringify(self)) return false;
    // A store that has come back from a copy may have lost the row.
    return readEra(row.version) === readEra(cache.revision(TABLE.HOSTS) ?? row.version);
  };

  const register = async (signal: AbortSignal) => {
    let writtenAtMs = -Infinity;
    while (!signal.aborted && !isLeaving) {
      // The row takes a while to come back through the store or a hub.
      const isWritten = clock.nowMs() - writtenAtMs < INVITE_INTERVAL_MS;
      if (!isWritten && !isRegistered()) {
        try {
          metrics.increment("store_call", { table: TABLE.HOSTS });
          const value = JSON.stringify(self);
          await store.writeRow(TABLE.HOSTS, self.host, value, {
            timeoutMs: STORE_TIMEOUT_MS,
            signal,
          });
          writtenAtMs = clock.nowMs();
        } catch (err) {
          log.warn({ err: String(err) }, "Writing host row failed; retrying");
        }
      }
      await sleepUntilTick(INVITE_INTERVAL_MS, { clock, signal });
    }
  };

  const removeRow = async (row: Row) => {
    try {
      metrics.increment("store_call", { table: TABLE.HOSTS });
      await store.removeRow(TABLE.HOSTS, row.key, row.version, { timeoutMs: STORE_TIMEOUT_MS });
    } catch (err) {
      log.warn({ host: row.key, err: String(err) }, "Removing host row failed");
    }
  };

  const removeExpiredHosts = async (signal: AbortSignal) => {
    while (!signal.aborted) {
      await sleep(HOST_ROW_EXPIRY_MS / 2, signal);
      if (!hubClient.isHub() || isLeaving) continue;
      for (const row of cache.rows(TABLE.HOSTS)) {
        const goneMs = hubServer.disconnectedMs(row.key) ?? clock.nowMs() - startMs;
        if (row.key === self.host || goneMs < HOST_ROW_EXPIRY_MS) continue;
        log.info(
          { host: row.key, goneMs: Math.round(goneMs) },
          "Removing row of host without a link",
        );
        await removeRow(row);
      }
    }
  };

  /**
   * Live hosts as seen by this host as a hub or by its first ready hub. Shortly after the start and
   * without a hub, all hosts with a row count as live.
   */
  const listLive = (): HostEntry[] => {
    const others = hubClient.isHub()
      ? hubServer.liveMembers()
      : hubClient.liveHosts() ?? (clock.nowMs() - startMs < HOST_ROW_TRUST_MS ? knownHosts() : []);
    const withoutSelf = others.filter((entry) => entry.host !== self.host);
    return isLeaving ? withoutSelf : [self, ...withoutSelf];
  };

  let addressesOf: { hosts: HostEntry[]; addresses: Set<string> } | undefined;
  const hostAddresses = () => {
    const hosts = knownHosts();
    // Each change of the known hosts gives a new list.
    if (addressesOf?.hosts !== hosts) {
      const addresses = hosts.flatMap(({ callerAddress, linkAddress }) => [
        callerAddress,
        linkAddress,
      ]);
      addressesOf = { hosts, addresses: new Set(addresses) };
    }
    return addressesOf.addresses;
  };

  const hasReadHosts = () => cache.revision(TABLE.HOSTS) !== undefined;

  const countUnlinked = () =>
    knownHosts().filter(({ host }) => host !== self.host && hubServer.disconnectedMs(host) !== 0)
      .length;

  return {
    async start() {
      await hubServer.start();
      tasks.run("register host", register);
      tasks.run("remove expired hosts", removeExpiredHosts);
      tasks.run("watch the ages of tables", async (signal) => {
        while (!signal.aborted) {
          await sleepUntilTick(FLEET_TICK_MS, { clock, signal });
          checkTableAges();
          traffic.flush();
        }
      });
    },
    async leave() {
      isLeaving = true;
      hubClient.announceDraining();
      hubServer.announceDraining();
      const own = cache.rows(TABLE.HOSTS).find((row) => row.key === self.host);
      if (own !== undefined) await removeRow(own);
    },
    stop() {
      hubServer.stop();
      hubClient.stop();
    },
    place: (job, timeouts) => hubClient.place(job, timeouts),
    report: (report, reportOptions) => hubClient.report(report, reportOptions),
    sendGossip(items) {
      hubClient.sendGossip(items);
      hubServer.sendGossip(items);
    },
    rows: (table) => cache.rows(table),
    liveHosts: listLive,
    liveOtherCount() {
      const hosts = hubClient.isHub() ? hubServer.liveMembers() : hubClient.liveHosts();
      return hosts?.filter(({ host }) => host !== self.host).length;
    },
    isHub: () => hubClient.isHub(),
    isIsolated: () => knownHosts().length > 1 && hubServer.liveMembers().length === 0,
    unlinkedHostCount: countUnlinked,
    hostCount: () => knownHosts().length,
    hubLimitShare: () => hasReadHosts() ? 1 - countUnlinked() / knownHosts().length : 0,
    ownLimitShare: () => hasReadHosts() ? 1 / knownHosts().length : 0,
    rankAmongHosts: (key) =>
      rankAmongHosts(self.host, { hosts: knownHosts().map(({ host }) => host), key }),
    hubForMs: () => hubClient.hubForMs(),
    memberLostAgoMs: () => hubServer.memberLostAgoMs(),
    hasHostAt: (address) => hostAddresses().has(address),
    storeRecoveredAgoMs,
  };
}
