import { sleep } from "@jaypass/kernel";
import type { Clock, Logger, Millis, TaskGroup } from "@jaypass/kernel";
import { chooseHubs } from "./choose_hubs.ts";
import {
  HUB_RETRY_DELAY_MS,
  HUB_SELECTION_INTERVAL_MS,
  LINK_CONNECT_TIMEOUT_MS,
  LINK_IDLE_TIMEOUT_MS,
  VIEW_INTERVAL_MS,
} from "./constants.ts";
import { applyRowPatches } from "./_lib/row_patches.ts";
import { connectSocket, createJsonLink } from "./_lib/json_link.ts";
import type { JsonLink } from "./_lib/json_link.ts";
import type { HubScheduler } from "./create_hub_server.ts";
import type { HubMessage, MemberMessage } from "./messages.ts";
import { shouldFollowStore } from "./should_follow_store.ts";
import { rankHubs } from "./rank_hubs.ts";
import { TABLE } from "./types.ts";
import type { HostEntry, Row, RowBatch, Table } from "./types.ts";

/** Options of {@linkcode createHubClient}. */
export interface HubClientOptions<Job, Decision, Report> {
  /** Entry of this host. */
  self: HostEntry;
  /** True while this host stops. */
  isDraining: () => boolean;
  /** Decides when this host is its own hub. */
  scheduler: HubScheduler<Job, Decision, Report>;
  /** Hosts that have a row. */
  knownHosts: () => HostEntry[];
  /** Reports on all that runs here, for a hub that is new to it. */
  currentReports: () => Report[];
  /** The report that ends a job, for a hub that did not answer in time. */
  createCancelReport: (job: Job) => Report;
  /** Revision of this host's copy of a table; undefined without one. */
  revision: (table: Table) => number | undefined;
  /** Finds a row of this host's copy of a table. */
  findRow: (table: Table, key: string) => Row | undefined;
  /** Takes rows that a hub passes on. */
  onRows: (table: Table, batch: RowBatch) => void;
  /** Monotonic time source. */
  clock: Clock;
  /** Log of links. */
  log: Logger;
  /** Owner of the tasks. */
  tasks: TaskGroup;
}

/** How long a host waits for a hub's decision. */
export interface PlaceTimeouts {
  /** Milliseconds for a hub to answer at all. */
  answerMs: Millis;
  /** Milliseconds for a decision, when the hub answers that the job has to wait. */
  waitMs: Millis;
}

/** The side of a host towards its hubs. */
export interface HubClient<Job, Decision, Report> {
  /** Asks the hubs one after the other; undefined when none answers in time. */
  place(
    job: Job,
    timeouts: PlaceTimeouts,
  ): Promise<{ by: string; decision: Decision } | undefined>;
  /** Tells the hubs what this host does; `except` leaves out the hub that knows it already. */
  report(report: Report, options?: { except?: string }): void;
  /** Passes rows on to the hubs. */
  sendRows(table: Table, batch: RowBatch): void;
  /** Tells the hubs that this host has just read the servers' rows. */
  notifyServersRead(): void;
  /** True while this host has to follow the store itself. */
  shouldFollow(): boolean;
  /**
   * Milliseconds since the store came back as all other hubs saw it, Infinity when one of them saw
   * no absence; undefined without another hub.
   */
  recoveredAgoMs(): Millis | undefined;
  /** Live hosts as the first hub that answers sees them; undefined without one. */
  liveHosts(): HostEntry[] | undefined;
  /** True when this host is one of its own hubs. */
  isHub(): boolean;
  /** Closes all links. */
  stop(): void;
}

/** A job on which a hub has not decided. */
interface Call<Decision> {
  settle(decision: Decision | undefined): void;
  /** Tells that the hub lets the job wait. */
  extend(): void;
}

interface HubLink<Job, Decision, Report> {
  entry: HostEntry;
  link: JsonLink<HubMessage<Decision>, MemberMessage<Job, Report>> | undefined;
  isReady: boolean;
  calls: Map<number, Call<Decision>>;
  timeouts: number;
  /** Live hosts by name; undefined before the hub named them. */
  hosts: Map<string, HostEntry> | undefined;
  /** Monotonic time of its first view. */
  sinceMs: Millis;
  /** Monotonic time up to which the hub's rows were fresh. */
  freshMs: Millis;
  /** Monotonic time at which the hub itself last read the store. */
  ownReadMs: Millis;
  recoveredMs: Millis;
}

/** Placements without an answer in a row after which a hub is given up. */
const MAX_TIMEOUTS = 3;

/**
 * Creates the side of a host towards its hubs: one task for each link, and one that reviews which
 * hosts are the hubs.
 *
 * @param options the host and what it passes on
 * @returns the client; it starts at once
 *
 * @example
 * const hubs = createHubClient({ self, desk, ... });
 * const decision = await hubs.place(job, 80);
 */
export function createHubClient<Job, Decision, Report>(
  options: HubClientOptions<Job, Decision, Report>,
): HubClient<Job, Decision, Report> {
  type Hub = HubLink<Job, Decision, Report>;
  const { self, scheduler: desk, clock, log, tasks } = options;
  const hubs = new Map<string, Hub>();
  let scoutRank = 0;
  const avoidedUntil = new Map<string, Millis>();
  let order: string[] = [];
  let nextCall = 1;

  const isSelf = (host: string) => host === self.host;

  /** A process that starts in place of one that was lost is another hub, and is tried at once. */
  const avoidanceKey = ({ host, incarnation }: HostEntry) => `${host} ${incarnation}`;

  const avoid = (entry: HostEntry) =>
    void avoidedUntil.set(avoidanceKey(entry), clock.nowMs() + HUB_RETRY_DELAY_MS);

  const isAvoided = (entry: HostEntry): boolean => {
    const key = avoidanceKey(entry);
    const untilMs = avoidedUntil.get(key);
    if (untilMs === undefined) return false;
    if (untilMs > clock.nowMs()) return true;
    avoidedUntil.delete(key);
    return false;
  };

  const closeHub = (hub: Hub) => {
    hubs.delete(hub.entry.host);
    hub.link?.close();
    for (const call of [...hub.calls.values()]) call.settle(undefined);
    hub.calls.clear();
  };

  const takeRows = (hub: Hub, message: HubMessage<Decision> & { type: "rows" }) => {
    const { table, patches = [] } = message;
    const batch = applyRowPatches(message.batch, patches, (key) => options.findRow(table, key));
    if (batch !== undefined) return options.onRows(table, batch);
    log.info({ hub: hub.entry.host, table }, "Patch does not fit; asking for whole rows");
    hub.link?.send({ type: "want", table, revision: options.revision(table) });
  };

  const handleMessage = (hub: Hub, message: HubMessage<Decision>) => {
    if (message.type === "rows") takeRows(hub, message);
    else if (message.type === "view") {
      const now = clock.nowMs();
      if (!hub.isReady) hub.sinceMs = now;
      hub.isReady = true;
      // A hub that has just started gets the time to read the store for the first time.
      hub.freshMs = Math.max(hub.sinceMs, now - message.ageMs);
      hub.ownReadMs = Math.max(hub.sinceMs, now - message.ownAgeMs);
      hub.recoveredMs = now - (message.recoveredAgoMs ?? Infinity);
    } else if (message.type === "hosts") {
      hub.hosts ??= new Map();
      for (const host of message.change.left) hub.hosts.delete(host);
      for (const entry of message.change.joined) hub.hosts.set(entry.host, entry);
    } else if (message.type === "waiting") hub.calls.get(message.call)?.extend();
    else hub.calls.get(message.call)?.settle(message.decision);
  };

  const runLink = async (hub: Hub) => {
    const { entry } = hub;
    try {
      const socket = await connectSocket(entry.linkAddress, LINK_CONNECT_TIMEOUT_MS);
      if (hubs.get(entry.host) !== hub) return void socket.destroy();
      const link = createJsonLink<HubMessage<Decision>, MemberMessage<Job, Report>>(socket, {
        silentMs: LINK_IDLE_TIMEOUT_MS,
      });
      hub.link = link;
      link.send({
        type: "hello",
        entry: self,
        isDraining: options.isDraining(),
        reports: options.currentReports(),
        revisions: Object.fromEntries(
          Object.values(TABLE).map((table) => [table, options.revision(table)]),
        ),
      });
      for await (const message of link.messages()) handleMessage(hub, message);
      throw new Error("Hub closed the link");
    } catch (err) {
      if (hubs.get(entry.host) !== hub) return;
      log.info({ hub: entry.host, err: String(err) }, "Hub lost");
      avoid(entry);
      closeHub(hub);
    }
  };

  const openHub = (entry: HostEntry) => {
    const hub: Hub = {
      entry,
      link: undefined,
      isReady: isSelf(entry.host),
      calls: new Map(),
      timeouts: 0,
      hosts: undefined,
      sinceMs: -Infinity,
      freshMs: -Infinity,
      ownReadMs: -Infinity,
      recoveredMs: -Infinity,
    };
    hubs.set(entry.host, hub);
    log.info({ hub: entry.host }, "Hub chosen");
    if (isSelf(entry.host)) {
      desk.forget(self.host);
      for (const report of options.currentReports()) desk.report(self.host, report);
    } else tasks.run(`link to hub ${entry.host}`, () => runLink(hub));
  };

  const review = () => {
    const able = options.knownHosts().filter((entry) =>
      isSelf(entry.host) ? !options.isDraining() : !isAvoided(entry)
    );
    const chosen = chooseHubs(able);
    order = chosen.map((entry) => entry.host);
    scoutRank = rankHubs(able).filter(({ host }) => !order.includes(host))
      .findIndex(({ host }) => isSelf(host));
    for (const hub of [...hubs.values()]) {
      const entry = chosen.find(({ host }) => host === hub.entry.host);
      if (entry?.incarnation === hub.entry.incarnation) continue;
      closeHub(hub);
      if (isSelf(hub.entry.host)) desk.forget(self.host);
    }
    for (const entry of chosen) if (!hubs.has(entry.host)) openHub(entry);
  };

  const readyHubs = () =>
    order.flatMap((host) => {
      const hub = hubs.get(host);
      return hub?.isReady ? [hub] : [];
    });

  const countTimeout = (hub: Hub, timeoutMs: Millis) => {
    hub.timeouts += 1;
    log.warn({ hub: hub.entry.host, timeoutMs, timeouts: hub.timeouts }, "Hub did not answer");
    if (hub.timeouts < MAX_TIMEOUTS || hubs.get(hub.entry.host) !== hub) return;
    avoid(hub.entry);
    closeHub(hub);
  };

  const ask = (hub: Hub, job: Job, timeouts: PlaceTimeouts) =>
    new Promise<Decision | undefined>((resolve) => {
      const number = nextCall++;
      const startTimer = (timeoutMs: Millis) =>
        setTimeout(() => {
          call.settle(undefined);
          // The hub may still place the job or let it wait, while it is placed elsewhere.
          hub.link?.send({ type: "report", report: options.createCancelReport(job) });
          countTimeout(hub, timeoutMs);
        }, timeoutMs);
      let timer = startTimer(timeouts.answerMs);
      const call: Call<Decision> = {
        settle(decision) {
          clearTimeout(timer);
          hub.calls.delete(number);
          if (decision !== undefined) hub.timeouts = 0;
          resolve(decision);
        },
        extend() {
          clearTimeout(timer);
          hub.timeouts = 0;
          timer = startTimer(timeouts.waitMs);
        },
      };
      hub.calls.set(number, call);
      hub.link?.send({ type: "place", call: number, job });
    });

  /** Decides here; undefined when this host stops being a hub before the job is decided. */
  const decideHere = (hub: Hub, job: Job) =>
    new Promise<Decision | undefined>((resolve, reject) => {
      const number = nextCall++;
      hub.calls.set(number, { settle: resolve, extend: () => {} });
      Promise.resolve(desk.place(self.host, job)).then(resolve, reject)
        .finally(() => hub.calls.delete(number));
    });

  tasks.run("review hubs", async (signal) => {
    while (!signal.aborted) {
      review();
      await sleep(HUB_SELECTION_INTERVAL_MS, signal);
    }
  });
  tasks.run("ping hubs", async (signal) => {
    while (!signal.aborted) {
      await sleep(VIEW_INTERVAL_MS, signal);
      const isDraining = options.isDraining();
      for (const hub of hubs.values()) hub.link?.send({ type: "ping", isDraining });
    }
  });

  return {
    async place(job, timeouts) {
      for (const hub of readyHubs()) {
        const { host } = hub.entry;
        const decision = await (isSelf(host) ? decideHere(hub, job) : ask(hub, job, timeouts));
        if (decision !== undefined) return { by: host, decision };
      }
      return undefined;
    },
    report(report, { except } = {}) {
      for (const hub of hubs.values()) {
        if (hub.entry.host === except) continue;
        if (isSelf(hub.entry.host)) desk.report(self.host, report);
        else hub.link?.send({ type: "report", report });
      }
    },
    sendRows(table, batch) {
      for (const hub of hubs.values()) hub.link?.send({ type: "rows", table, batch });
    },
    notifyServersRead() {
      for (const hub of hubs.values()) hub.link?.send({ type: "fresh" });
    },
    shouldFollow() {
      const ready = readyHubs();
      const isUnconfigured = options.revision(TABLE.OPERATORS) === undefined;
      if (ready.length === 0 || hubs.has(self.host) || isUnconfigured) return true;
      return shouldFollowStore({
        fallbackRank: scoutRank,
        hubAgeMs: clock.nowMs() - Math.max(...ready.map((hub) => hub.ownReadMs)),
        viewAgeMs: clock.nowMs() - Math.max(...ready.map((hub) => hub.freshMs)),
      });
    },
    recoveredAgoMs() {
      const others = readyHubs().filter((hub) => !isSelf(hub.entry.host));
      if (others.length === 0) return undefined;
      return Math.max(...others.map((hub) => clock.nowMs() - hub.recoveredMs));
    },
    liveHosts() {
      const hosts = readyHubs().find((hub) => hub.hosts !== undefined)?.hosts;
      return hosts && [...hosts.values()];
    },
    isHub: () => hubs.has(self.host),
    stop() {
      for (const hub of [...hubs.values()]) closeHub(hub);
    },
  };
}
