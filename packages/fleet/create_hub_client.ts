import { ESSENTIAL, runAfterRead, sleepUntilTick } from "@jaypass/kernel";
import type { Clock, Logger, Millis, TaskGroup } from "@jaypass/kernel";
import { chooseHubs } from "./choose_hubs.ts";
import { computeStaleMs } from "./compute_stale_ms.ts";
import {
  HUB_RETRY_DELAY_MS,
  HUB_REVIEW_DELAY_MS,
  HUB_SELECTION_INTERVAL_MS,
  LINK_CONNECT_TIMEOUT_MS,
  LINK_IDLE_TIMEOUT_MS,
  RECONNECT_VIEW_TIMEOUT_MS,
  VIEW_INTERVAL_MS,
} from "./constants.ts";
import { parseHubMessage } from "./_lib/parse_message.ts";
import type { LinkTraffic } from "./_lib/create_link_traffic.ts";
import { decodeViewAges } from "./_lib/view_ages.ts";
import { applyRowPatches } from "./_lib/row_patches.ts";
import { connectSocket, createJsonLink } from "./_lib/json_link.ts";
import type { JsonLink } from "./_lib/json_link.ts";
import type { HubScheduler } from "./create_hub_server.ts";
import { SHORT_VIEWS } from "./messages.ts";
import type {
  HubMessage,
  MemberMessage,
  MessageEncoders,
  MessageParsers,
  RevisionSpan,
} from "./messages.ts";
import { shouldFollowStore } from "./should_follow_store.ts";
import { shouldReconnectToHub } from "./should_reconnect_to_hub.ts";
import { rankHubs } from "./rank_hubs.ts";
import { TABLE } from "./types.ts";
import type { Gossip, HostEntry, Row, RowBatch, Table, TableAge } from "./types.ts";

/** Options of {@linkcode createHubClient}. */
export interface HubClientOptions<Job, Decision, Report> {
  /** Entry of this host. */
  self: HostEntry;
  /** True while this host is shutting down. */
  isDraining: () => boolean;
  /** Places jobs when this host is its own hub. */
  scheduler: HubScheduler<Job, Decision, Report>;
  /** Hosts that have a row, this one included. */
  knownHosts: () => HostEntry[];
  /** Returns reports on all jobs that run on this host, for a newly selected hub. */
  currentReports: () => Report[];
  /** Creates the report that cancels a job, for a hub that did not answer in time. */
  createCancelReport: (job: Job) => Report;
  /** Returns a job with its current times, after it has waited for a hub. */
  ageJob: (job: Job, waitedMs: Millis) => Job;
  /** Revision of this host's copy of a table; undefined without one. */
  revision: (table: Table) => number | undefined;
  /** Revision after which a new hub sends the changes of a table; undefined for all rows. */
  revisionForHub: (table: Table) => number | undefined;
  /** Returns the changes of a table after a revision, for a hub that lacks them. */
  changesSince: (table: Table, revision: number | undefined) => RowBatch;
  /** Finds a row in this host's copy of a table. */
  findRow: (table: Table, key: string) => Row | undefined;
  /** Facts that a new hub is told, and the receiver of those that hubs send. */
  gossip: Gossip;
  /** Age of this host's copy of a table. */
  tableAge: (table: Table) => TableAge;
  /** Receives the age of a table that a hub stated, after its rows. */
  onTableAge: (table: Table, age: TableAge) => void;
  /** Receives rows that a hub sent. */
  onRows: (table: Table, batch: RowBatch) => void;
  /** Parsers of jobs, decisions and reports in messages. */
  parsers: MessageParsers<Job, Decision, Report>;
  /** Encoders of the same for other hosts. */
  encoders: MessageEncoders<Job, Decision, Report>;
  /** Counts the bytes of messages. */
  traffic: LinkTraffic;
  /** Monotonic time source. */
  clock: Clock;
  /** Logs the selection of hubs and the state of the links to them. */
  log: Logger;
  /** Runs the tasks of the links and of the hub selection. */
  tasks: TaskGroup;
}

/** How long a host waits for the decision of a hub. */
export interface PlaceTimeouts {
  /** Milliseconds to wait for a hub while no link to one is established; 0 by default. */
  linkMs?: Millis;
  /** Milliseconds until the hub has to send a decision or queue the job. */
  answerMs: Millis;
  /** Milliseconds until the hub has to send a decision, once it has queued the job. */
  waitMs: Millis;
}

/** A host's links to its hubs. */
export interface HubClient<Job, Decision, Report> {
  /** Asks the hubs in order to place a job; undefined when none decides in time. */
  place(
    job: Job,
    timeouts: PlaceTimeouts,
  ): Promise<{ by: string; decision: Decision } | undefined>;
  /** Sends a report to the hubs; `except` is the name of a hub that already knows it. */
  report(report: Report, options?: { except?: string }): void;
  /** Sends facts to the hubs. */
  sendGossip(items: unknown[]): void;
  /** Sends changed rows to the hubs. */
  sendRows(table: Table, batch: RowBatch): void;
  /** Reviews the hubs after a change of the known hosts, at once after the first read of them. */
  reviewHubs(options: { isFirstRead: boolean }): void;
  /** Tells the hubs that this host has just read a table and sent the changes. */
  notifyRead(table: Table, span: RevisionSpan): void;
  /** True while this host has to read a table itself. */
  shouldFollow(table: Table): boolean;
  /**
   * Milliseconds since the last outage of the store that all other hubs observed ended; Infinity
   * when one of them observed none, undefined when there is no other hub.
   */
  recoveredAgoMs(): Millis | undefined;
  /** Tells the hubs at once that this host is shutting down. */
  announceDraining(): void;
  /** Live hosts as listed by the first ready hub; undefined without one. */
  liveHosts(): HostEntry[] | undefined;
  /** True when this host is one of its own hubs. */
  isHub(): boolean;
  /** Milliseconds since this host became one of its own hubs; 0 while it is none. */
  hubForMs(): Millis;
  /** Describes the hubs other than this host for the log. */
  describeHubs(): HubState[];
  /** Closes all links. */
  stop(): void;
}

/** State of the link to a hub. */
export interface HubState {
  hub: string;
  /** True once the hub has sent its first view. */
  isReady: boolean;
  /** Milliseconds since the last message of the hub; undefined before the first one. */
  heardAgoMs: Millis | undefined;
}

/** A job that a hub has been asked to place and has not decided on. */
interface PendingPlacement<Decision> {
  /** Ends the wait; undefined when the hub cannot decide. */
  settle(decision: Decision | undefined): void;
  /** Called when the hub has queued the job. */
  extendTimeout(): void;
}

interface HubLink<Job, Decision, Report> {
  entry: HostEntry;
  /** The link; undefined until it is established and always for this host itself. */
  link: JsonLink<HubMessage<Decision>, MemberMessage<unknown, unknown>> | undefined;
  /** True once the hub has sent its first view; always true for this host itself. */
  isReady: boolean;
  pendingPlacements: Map<number, PendingPlacement<Decision>>;
  /** Consecutive placements that the hub did not answer in time. */
  timeouts: number;
  /** Live hosts by name; undefined before the hub has sent them. */
  hosts: Map<string, HostEntry> | undefined;
  /** Entry that the hub has stated for itself; newer than `entry` until its row has arrived. */
  statedEntry: HostEntry | undefined;
  /** Tables whose rows were requested because a patch did not match; their copies lack changes. */
  awaitedTables: Set<Table>;
  /** Time at which the connect began. */
  openedAtMs: Millis;
  /** Time of the last message from the hub. */
  heardAtMs: Millis;
  /** Time at which the last outage of the store ended, as observed by the hub. */
  storeRecoveredAtMs: Millis;
}

/** How a link to a hub is opened. */
interface LinkOptions {
  /** Time from the connect to the first view, after which the link fails; no limit by default. */
  viewTimeoutMs?: Millis;
}

/** Consecutive placement timeouts after which the link to a hub is closed. */
const MAX_CONSECUTIVE_TIMEOUTS = 3;

/**
 * Creates the links of a host to its hubs. One task runs for each link; further tasks select the
 * hubs periodically and send pings.
 *
 * @param options the host, its cached rows and its reports
 * @returns the client, which starts immediately
 *
 * @example
 * const hubs = createHubClient({ self, scheduler, ... });
 * const placed = await hubs.place(job, { answerMs: 80, waitMs: 1_000 });
 */
export function createHubClient<Job, Decision, Report>(
  options: HubClientOptions<Job, Decision, Report>,
): HubClient<Job, Decision, Report> {
  type Hub = HubLink<Job, Decision, Report>;
  const { self, scheduler, clock, log, tasks, encoders } = options;
  const hubs = new Map<string, Hub>();
  let fallbackRank = 0;
  const retryAtMs = new Map<string, Millis>();
  /** Times at which hubs were connected to again after their links had failed. */
  const reconnectedAtMs = new Map<string, Millis>();
  let hubOrder: string[] = [];
  let nextCallNumber = 1;
  let firstReadAtMs = -Infinity;
  let hasLinkFailed = false;
  const linkWaiters = new Set<() => void>();
  let reviewTimer: NodeJS.Timeout | undefined;

  const encodeReport = (report: Report): MemberMessage<unknown, unknown> => ({
    type: "report",
    report: encoders.encodeReport(report),
  });

  const isSelf = (host: string) => host === self.host;

  /** Includes the incarnation, so that a restarted host is tried again without delay. */
  const processKey = ({ host, incarnation }: HostEntry) => `${host} ${incarnation}`;

  const deferRetry = (entry: HostEntry) =>
    void retryAtMs.set(processKey(entry), clock.nowMs() + HUB_RETRY_DELAY_MS);

  const isRetryDeferred = (entry: HostEntry): boolean => retryAtMs.has(processKey(entry));

  /** Continues the placements that wait for a hub. */
  const notifyLinkWaiters = () => {
    for (const proceed of [...linkWaiters]) proceed();
  };

  /** Resolves when a hub is ready, a link has failed or the time is over. */
  const waitForLink = (timeoutMs: Millis) =>
    new Promise<void>((resolve) => {
      const proceed = () => {
        clearTimeout(timer);
        linkWaiters.delete(proceed);
        resolve();
      };
      const timer = setTimeout(proceed, timeoutMs);
      linkWaiters.add(proceed);
    });

  const closeHub = (hub: Hub) => {
    hubs.delete(hub.entry.host);
    notifyLinkWaiters();
    hub.link?.close();
    for (const call of [...hub.pendingPlacements.values()]) call.settle(undefined);
    hub.pendingPlacements.clear();
  };

  const applyRows = (hub: Hub, message: HubMessage<Decision> & { type: "rows" }) => {
    const { table, patches = [] } = message;
    const batch = applyRowPatches(message.batch, patches, (key) => options.findRow(table, key));
    if (batch !== undefined) {
      hub.awaitedTables.delete(table);
      return options.onRows(table, batch);
    }
    hub.awaitedTables.add(table);
    log.info(
      { hub: hub.entry.host, table },
      "Row patch does not match the local version; requesting whole rows",
    );
    hub.link?.send({ type: "want", table, revision: options.revision(table) });
  };

  const handleMessage = (hub: Hub, message: HubMessage<Decision>) => {
    hub.heardAtMs = clock.nowMs();
    if (message.type === "rows") applyRows(hub, message);
    else if (message.type === "view") {
      if (!hub.isReady) {
        hub.isReady = true;
        notifyLinkWaiters();
      }
      hub.storeRecoveredAtMs = clock.nowMs() - (message.recoveredAgoMs ?? Infinity);
      const ages = decodeViewAges(message);
      for (const table of Object.values(TABLE)) {
        if (!hub.awaitedTables.has(table)) options.onTableAge(table, ages[table]);
      }
    } else if (message.type === "hosts") {
      hub.hosts ??= new Map();
      for (const host of message.change.left) hub.hosts.delete(host);
      for (const entry of message.change.joined) hub.hosts.set(entry.host, entry);
      hub.statedEntry = hub.hosts.get(hub.entry.host) ?? hub.statedEntry;
    } else if (message.type === "want") {
      const { table, revision } = message;
      hub.link?.send({ type: "rows", table, batch: options.changesSince(table, revision) });
    } else if (message.type === "gossip") options.gossip.receive(message.items);
    else if (message.type === "waiting") hub.pendingPlacements.get(message.call)?.extendTimeout();
    else hub.pendingPlacements.get(message.call)?.settle(message.decision);
  };

  /** Gives up the link to a hub, and connects to it again or selects another one. */
  const giveUpLink = (hub: Hub) => {
    const { entry } = hub;
    hasLinkFailed = true;
    const now = clock.nowMs();
    // A link that was opened after this hub's last message cannot have failed together with its link.
    const others = [...hubs.values()].filter((other) =>
      other !== hub && other.link !== undefined && other.openedAtMs < hub.heardAtMs
    );
    const key = processKey(entry);
    closeHub(hub);
    const shouldReconnect = shouldReconnectToHub({
      wasReady: hub.isReady,
      heardAgoMs: now - hub.heardAtMs,
      othersHeardAgoMs: others.map((other) => now - other.heardAtMs),
      reconnectedAgoMs: now - (reconnectedAtMs.get(key) ?? -Infinity),
    });
    if (shouldReconnect) {
      for (const [known, atMs] of reconnectedAtMs) {
        if (now - atMs > HUB_RETRY_DELAY_MS) reconnectedAtMs.delete(known);
      }
      reconnectedAtMs.set(key, now);
      openHub(entry, { viewTimeoutMs: RECONNECT_VIEW_TIMEOUT_MS });
    } else deferRetry(entry);
    selectHubs();
  };

  /** With `viewTimeoutMs`, the link fails if the hub has sent no view on it by then. */
  const runLink = async (hub: Hub, { viewTimeoutMs }: LinkOptions) => {
    const { entry } = hub;
    let viewTimer: NodeJS.Timeout | undefined;
    try {
      const socket = await connectSocket(entry.linkAddress, LINK_CONNECT_TIMEOUT_MS);
      if (hubs.get(entry.host) !== hub) return void socket.destroy();
      const link = createJsonLink<HubMessage<Decision>, MemberMessage<unknown, unknown>>(socket, {
        idleTimeoutMs: LINK_IDLE_TIMEOUT_MS,
        parse: (value) => parseHubMessage(value, options.parsers),
        traffic: options.traffic,
      });
      hub.link = link;
      if (viewTimeoutMs !== undefined) {
        const closeUnlessReady = () => void (hub.isReady || link.close());
        viewTimer = setTimeout(() => runAfterRead(closeUnlessReady), viewTimeoutMs);
      }
      link.send({
        type: "hello",
        entry: self,
        isDraining: options.isDraining(),
        reports: options.currentReports().map(encoders.encodeReport),
        revisions: Object.fromEntries(
          Object.values(TABLE).map((table) => [table, options.revisionForHub(table)]),
        ),
        understands: [SHORT_VIEWS],
      });
      const items = options.gossip.list();
      if (items.length > 0) link.send({ type: "gossip", items });
      for await (const message of link.messages()) handleMessage(hub, message);
      throw new Error("Hub closed the link");
    } catch (err) {
      if (hubs.get(entry.host) !== hub) return;
      log.info({ hub: entry.host, err: String(err), [ESSENTIAL]: true }, "Link to hub failed");
      giveUpLink(hub);
    } finally {
      clearTimeout(viewTimer);
    }
  };

  const openHub = (entry: HostEntry, linkOptions: LinkOptions = {}) => {
    const hub: Hub = {
      entry,
      link: undefined,
      isReady: isSelf(entry.host),
      pendingPlacements: new Map(),
      timeouts: 0,
      hosts: undefined,
      statedEntry: undefined,
      awaitedTables: new Set(),
      openedAtMs: clock.nowMs(),
      heardAtMs: -Infinity,
      storeRecoveredAtMs: -Infinity,
    };
    hubs.set(entry.host, hub);
    log.info({ hub: entry.host, [ESSENTIAL]: true }, "Hub selected");
    if (isSelf(entry.host)) {
      scheduler.forget(self.host);
      for (const report of options.currentReports()) scheduler.report(self.host, report);
    } else tasks.run(`link to hub ${entry.host}`, () => runLink(hub, linkOptions));
  };

  /** State that the current selection was made from; the same state gives the same selection. */
  let selectedFrom: { hosts: HostEntry[]; isDraining: boolean } | undefined;

  /** Reports whether a selection from this state would give the selected hubs again. */
  const isSelectionCurrent = (hosts: HostEntry[], isDraining: boolean) =>
    // Each change of the known hosts gives a new list.
    selectedFrom?.hosts === hosts && selectedFrom.isDraining === isDraining &&
    retryAtMs.size === 0 && hubOrder.every((host) => hubs.has(host));

  const removeExpiredDeferrals = () => {
    for (const [key, untilMs] of retryAtMs) if (untilMs <= clock.nowMs()) retryAtMs.delete(key);
  };

  const isSameProcess = (entry: HostEntry, stated: HostEntry | undefined): boolean =>
    entry.incarnation === stated?.incarnation && entry.linkAddress === stated.linkAddress;

  const selectHubs = () => {
    const hosts = options.knownHosts();
    const isDraining = options.isDraining();
    if (isSelectionCurrent(hosts, isDraining)) return;
    selectedFrom = { hosts, isDraining };
    removeExpiredDeferrals();
    const candidates = hosts.filter((entry) =>
      isSelf(entry.host) ? !isDraining : !isRetryDeferred(entry)
    );
    const selected = chooseHubs(candidates);
    hubOrder = selected.map((entry) => entry.host);
    fallbackRank = rankHubs(candidates).filter(({ host }) => !hubOrder.includes(host))
      .findIndex(({ host }) => isSelf(host));
    for (const hub of [...hubs.values()]) {
      const entry = selected.find(({ host }) => host === hub.entry.host);
      if (entry?.incarnation === hub.entry.incarnation) continue;
      // The link was made with the row of the process before, which listened at the same address.
      if (entry !== undefined && isSameProcess(entry, hub.statedEntry)) {
        hub.entry = entry;
        continue;
      }
      closeHub(hub);
      if (isSelf(hub.entry.host)) scheduler.forget(self.host);
    }
    for (const entry of selected) if (!hubs.has(entry.host)) openHub(entry);
  };

  const readyHubs = () =>
    hubOrder.flatMap((host) => {
      const hub = hubs.get(host);
      return hub?.isReady ? [hub] : [];
    });

  /**
   * Whether the first hubs after a start may still tell what the store would. Later on, a host without
   * a hub follows the store at once, since many hubs may fail one after another. If one has failed, its
   * process may be about to start and write its row.
   */
  const isConnecting = () =>
    !hasLinkFailed && clock.nowMs() - firstReadAtMs < LINK_CONNECT_TIMEOUT_MS &&
    [...hubs.values()].some(({ isReady }) => !isReady);

  const recordTimeout = (hub: Hub, timeoutMs: Millis) => {
    hub.timeouts += 1;
    log.warn(
      { hub: hub.entry.host, timeoutMs, timeouts: hub.timeouts },
      "Hub did not place job in time",
    );
    if (hub.timeouts < MAX_CONSECUTIVE_TIMEOUTS || hubs.get(hub.entry.host) !== hub) return;
    giveUpLink(hub);
  };

  const requestPlacement = (hub: Hub, job: Job, timeouts: PlaceTimeouts) =>
    new Promise<Decision | undefined>((resolve) => {
      const number = nextCallNumber++;
      const startTimer = (timeoutMs: Millis) =>
        setTimeout(() => {
          call.settle(undefined);
          // The hub may still place or queue the job, which is now placed elsewhere.
          hub.link?.send(encodeReport(options.createCancelReport(job)));
          recordTimeout(hub, timeoutMs);
        }, timeoutMs);
      let timer = startTimer(timeouts.answerMs);
      const call: PendingPlacement<Decision> = {
        settle(decision) {
          clearTimeout(timer);
          hub.pendingPlacements.delete(number);
          if (decision !== undefined) hub.timeouts = 0;
          resolve(decision);
        },
        extendTimeout() {
          clearTimeout(timer);
          hub.timeouts = 0;
          timer = startTimer(timeouts.waitMs);
        },
      };
      hub.pendingPlacements.set(number, call);
      hub.link?.send({ type: "place", call: number, job: encoders.encodeJob(job) });
    });

  /** Places a job here; undefined when this host stops being a hub before the decision. */
  const placeLocally = (hub: Hub, job: Job) =>
    new Promise<Decision | undefined>((resolve, reject) => {
      const number = nextCallNumber++;
      hub.pendingPlacements.set(number, { settle: resolve, extendTimeout: () => {} });
      Promise.resolve(scheduler.place(self.host, job)).then(resolve, reject)
        .finally(() => hub.pendingPlacements.delete(number));
    });

  const ping = () => {
    const isDraining = options.isDraining();
    for (const hub of hubs.values()) {
      hub.link?.send({ type: "ping", ...isDraining && { isDraining } });
    }
  };

  tasks.run("review hubs", async (signal) => {
    while (!signal.aborted) {
      selectHubs();
      await sleepUntilTick(HUB_SELECTION_INTERVAL_MS, { clock, signal });
    }
  });
  tasks.run("ping hubs", async (signal) => {
    while (!signal.aborted) {
      await sleepUntilTick(VIEW_INTERVAL_MS, { clock, signal });
      ping();
    }
  });

  return {
    async place(job, { answerMs, waitMs, linkMs = 0 }) {
      const startMs = clock.nowMs();
      const asked = new Set<Hub>();
      // A job may have waited for seconds, in which the hubs change.
      const findNextHub = () => readyHubs().find((hub) => !asked.has(hub));
      let linkWaitMs = linkMs;
      while (true) {
        if (readyHubs().length === 0 && hubs.size > 0 && linkWaitMs > 0) {
          const waitStartMs = clock.nowMs();
          await waitForLink(linkWaitMs);
          linkWaitMs -= clock.nowMs() - waitStartMs;
        }
        const hub = findNextHub();
        if (hub === undefined) return undefined;
        asked.add(hub);
        const waitedMs = clock.nowMs() - startMs;
        const currentJob = options.ageJob(job, waitedMs);
        const timeouts = { answerMs, waitMs: waitMs - waitedMs };
        const { host } = hub.entry;
        const decision = await (isSelf(host)
          ? placeLocally(hub, currentJob)
          : requestPlacement(hub, currentJob, timeouts));
        if (decision !== undefined) {
          return { by: host, decision };
        }
        // This host has stopped being a hub. A hub that was late before may answer now.
        if (isSelf(host)) {
          asked.clear();
        }
      }
    },
    report(report, { except } = {}) {
      for (const hub of hubs.values()) {
        if (hub.entry.host === except) continue;
        if (isSelf(hub.entry.host)) scheduler.report(self.host, report);
        else hub.link?.send(encodeReport(report));
      }
    },
    sendGossip(items) {
      for (const hub of hubs.values()) hub.link?.send({ type: "gossip", items });
    },
    sendRows(table, batch) {
      for (const hub of hubs.values()) hub.link?.send({ type: "rows", table, batch });
    },
    reviewHubs({ isFirstRead }) {
      if (isFirstRead) {
        firstReadAtMs = clock.nowMs();
        return selectHubs();
      }
      reviewTimer ??= setTimeout(() => {
        reviewTimer = undefined;
        selectHubs();
      }, HUB_REVIEW_DELAY_MS);
    },
    notifyRead(table, span) {
      for (const hub of hubs.values()) hub.link?.send({ type: "fresh", table, span });
    },
    shouldFollow(table) {
      const isUnread = options.revision(table) === undefined;
      if (isUnread || hubs.has(self.host)) return true;
      if (readyHubs().length === 0) return !isConnecting();
      return shouldFollowStore({
        fallbackRank,
        staleMs: computeStaleMs(table),
        ...options.tableAge(table),
      });
    },
    recoveredAgoMs() {
      const others = readyHubs().filter((hub) => !isSelf(hub.entry.host));
      if (others.length === 0) return undefined;
      return Math.max(...others.map((hub) => clock.nowMs() - hub.storeRecoveredAtMs));
    },
    announceDraining: ping,
    liveHosts() {
      const hosts = readyHubs().find((hub) => hub.hosts !== undefined)?.hosts;
      return hosts && [...hosts.values()];
    },
    isHub: () => hubs.has(self.host),
    hubForMs() {
      const own = hubs.get(self.host);
      return own === undefined ? 0 : clock.nowMs() - own.openedAtMs;
    },
    describeHubs: () =>
      [...hubs.values()].filter((hub) => !isSelf(hub.entry.host)).map((hub) => ({
        hub: hub.entry.host,
        isReady: hub.isReady,
        heardAgoMs: Number.isFinite(hub.heardAtMs)
          ? Math.round(clock.nowMs() - hub.heardAtMs)
          : undefined,
      })),
    stop() {
      clearTimeout(reviewTimer);
      for (const hub of [...hubs.values()]) closeHub(hub);
    },
  };
}
