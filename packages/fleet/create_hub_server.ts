import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { once } from "node:events";
import { createMemoryAccount } from "@jaypass/client_limits";
import { ESSENTIAL, sleepUntilTick } from "@jaypass/kernel";
import type { Clock, Logger, Millis, TaskGroup } from "@jaypass/kernel";
import {
  INVITE_INTERVAL_MS,
  LINK_CONNECT_TIMEOUT_MS,
  LINK_IDLE_TIMEOUT_MS,
  LINKS_MAX_HELD_CHARACTERS,
  VIEW_INTERVAL_MS,
} from "./constants.ts";
import { encodeMessage } from "./_lib/encode_message.ts";
import { parseMemberMessage } from "./_lib/parse_message.ts";
import { encodeViewAges, shortenView } from "./_lib/view_ages.ts";
import { createRowPatches } from "./_lib/row_patches.ts";
import type { LinkTraffic } from "./_lib/create_link_traffic.ts";
import { createHostsDiff } from "./_lib/hosts_diff.ts";
import { connectSocket, createJsonLink } from "./_lib/json_link.ts";
import type { JsonLink } from "./_lib/json_link.ts";
import { SHORT_VIEWS } from "./messages.ts";
import type {
  HubMessage,
  MemberMessage,
  MessageEncoders,
  MessageParsers,
  RevisionSpan,
  ShortView,
} from "./messages.ts";
import { TABLE } from "./types.ts";
import type { Gossip, HostEntry, Row, RowBatch, Table, TableAge } from "./types.ts";

/** Places the jobs of a hub's members. */
export interface HubScheduler<Job, Decision, Report> {
  /** Places a job of a member; returns a promise when the job is queued. */
  place(host: string, job: Job): Decision | Promise<Decision>;
  /** Processes a report of a member on its jobs. */
  report(host: string, report: Report): void;
  /** Discards all state of a member, whose link has ended. */
  forget(host: string): void;
}

/** Options of {@linkcode createHubServer}. */
export interface HubServerOptions<Job, Decision, Report> {
  /** Entry of this host. */
  self: HostEntry;
  /** True while this host is shutting down. */
  isDraining: () => boolean;
  /** Places the jobs of the members. */
  scheduler: HubScheduler<Job, Decision, Report>;
  /** Returns the changes of a table after a revision, for a new member. */
  changesSince: (table: Table, revision: number | undefined) => RowBatch;
  /** Receives rows that a member or an inviting hub sent. */
  onRows: (table: Table, batch: RowBatch) => void;
  /** Facts that a new member is told, and the receiver of those that members send. */
  gossip: Gossip;
  /** Milliseconds since this host itself read a table. */
  readAgoMs: (table: Table) => Millis;
  /** Milliseconds since the last outage of the store that this host observed ended. */
  recoveredAgoMs: () => Millis;
  /**
   * Called after a member has read a table from the store and sent the changes in a span of revisions.
   * Returns false if this host lacks earlier changes.
   */
  onMemberRead: (table: Table, span: RevisionSpan | undefined) => boolean;
  /** Revision of this host's copy of a table; undefined without one. */
  revision: (table: Table) => number | undefined;
  /** True while this host's copy of a table is stale. */
  isStale: (table: Table) => boolean;
  /** Hosts that have a row, this one included. */
  knownHosts: () => HostEntry[];
  /** The whole hosts table, which an invited host uses to find its hubs. */
  hostRows: () => RowBatch;
  /** True while this host is a hub and therefore invites hosts without a link. */
  isHub: () => boolean;
  /** Parsers of jobs, decisions and reports in messages. */
  parsers: MessageParsers<Job, Decision, Report>;
  /** Encoders of the same for other hosts. */
  encoders: MessageEncoders<Job, Decision, Report>;
  /** Counts the bytes of messages. */
  traffic: LinkTraffic;
  /** Monotonic time source. */
  clock: Clock;
  /** Logs members that join and leave. */
  log: Logger;
  /** Runs the tasks of the links and the periodic tasks. */
  tasks: TaskGroup;
}

/** A hub's links to its members. */
export interface HubServer {
  /** Starts listening. */
  start(): Promise<void>;
  /** Stops listening and closes all links. */
  stop(): void;
  /** Sends changed rows to all members; `before` has the previous rows, as far as known. */
  broadcast(table: Table, batch: RowBatch, before: ReadonlyMap<string, Row | undefined>): void;
  /** Sends facts to all members. */
  sendGossip(items: unknown[]): void;
  /** Tells the members at once that this host is shutting down. */
  announceDraining(): void;
  /** Linked hosts that are not shutting down. */
  liveMembers(): HostEntry[];
  /** Milliseconds since a host's link ended; 0 while it is linked, undefined if it never was. */
  disconnectedMs(host: string): Millis | undefined;
  /**
   * Milliseconds since a member has given up its link and may have turned to another hub; Infinity if
   * none has. Links on which a member was silent before do not count, since other hubs lose it too.
   */
  memberLostAgoMs(): Millis;
}

interface Member {
  entry: HostEntry;
  isDraining: boolean;
  /** True if the member understands short views. */
  hasShortViews: boolean;
  link: JsonLink<unknown, HubMessage<unknown> | ShortView>;
}

/**
 * Creates the server that accepts links of members, with one task for each link.
 *
 * @param options the host, its cached rows and its scheduler
 * @returns the server, not yet started
 *
 * @example
 * const hubServer = createHubServer({ self, scheduler, ... });
 * await hubServer.start();
 */
export function createHubServer<Job, Decision, Report>(
  options: HubServerOptions<Job, Decision, Report>,
): HubServer {
  const { self, scheduler, clock, log, tasks, traffic, encoders } = options;
  const members = new Map<string, Member>();
  const disconnectedAtMs = new Map<string, Millis>();
  let memberLostAtMs = -Infinity;
  const sockets = new Set<Socket>();
  const memory = createMemoryAccount(LINKS_MAX_HELD_CHARACTERS);

  const listLive = () =>
    [...members.values()].filter((member) => !member.isDraining).map((member) => member.entry);

  const listAnnounced = () => {
    const others = listLive().filter((entry) => entry.host !== self.host);
    return options.isDraining() ? others : [self, ...others];
  };
  const hostsDiff = createHostsDiff(listAnnounced);

  const memberReadAtMs = new Map<Table, Millis>();

  const describeAge = (table: Table): TableAge => {
    const hubAgeMs = options.readAgoMs(table);
    const memberAgeMs = clock.nowMs() - (memberReadAtMs.get(table) ?? -Infinity);
    return { ageMs: Math.min(hubAgeMs, memberAgeMs), hubAgeMs };
  };

  const describeView = () => {
    const recoveredAgoMs = options.recoveredAgoMs();
    return {
      type: "view" as const,
      ...encodeViewAges(describeAge),
      recoveredAgoMs: Number.isFinite(recoveredAgoMs) ? Math.round(recoveredAgoMs) : null,
    };
  };

  const broadcast = (message: HubMessage<unknown>) => {
    const line = encodeMessage(message);
    for (const { link } of members.values()) link.sendLine(message, line);
  };

  const sendView = (receivers: Iterable<Member>) => {
    const view = describeView();
    const shortView = shortenView(view);
    const line = encodeMessage(view);
    const shortLine = encodeMessage(shortView);
    for (const { link, hasShortViews } of receivers) {
      if (hasShortViews) link.sendLine(shortView, shortLine);
      else link.sendLine(view, line);
    }
  };

  const cachedLines = new Map<
    Table,
    { key: string; message: HubMessage<unknown>; line: string }
  >();

  /**
   * Sends the changes after a revision. The last line of each table is cached, because after a
   * restart of many hosts all of them need the same changes.
   */
  const sendChanges = (
    link: Member["link"],
    table: Table,
    sinceRevision: number | undefined,
  ) => {
    const batch = options.changesSince(table, sinceRevision);
    const key = `${batch.sinceRevision} ${batch.revision}`;
    const known = cachedLines.get(table);
    if (known?.key === key) return link.sendLine(known.message, known.line);
    const message = { type: "rows", table, batch } as const;
    const line = encodeMessage(message);
    cachedLines.set(table, { key, message: { ...message, batch: { ...batch, rows: [] } }, line });
    link.sendLine(message, line);
  };

  const addMember = (
    message: MemberMessage<Job, Report> & { type: "hello" },
    link: Member["link"],
  ): Member => {
    const { entry, isDraining, reports, revisions } = message;
    if (members.has(entry.host)) memberLostAtMs = clock.nowMs();
    members.get(entry.host)?.link.close();
    scheduler.forget(entry.host);
    for (const report of reports) scheduler.report(entry.host, report);
    const hasShortViews = message.understands?.includes(SHORT_VIEWS) === true;
    const member = { entry, isDraining, hasShortViews, link };
    members.set(entry.host, member);
    for (const table of Object.values(TABLE)) sendChanges(link, table, revisions[table]);
    link.send({ type: "hosts", change: { joined: hostsDiff.listAll(), left: [] } });
    const items = options.gossip.list();
    if (items.length > 0) link.send({ type: "gossip", items });
    sendView([member]);
    for (const table of Object.values(TABLE)) {
      const isBehind = (revisions[table] ?? -1) > (options.revision(table) ?? -1);
      if (isBehind && options.isStale(table)) requestRows(member, table);
    }
    log.info({ member: entry.host, reports: reports.length, [ESSENTIAL]: true }, "Member joined");
    return member;
  };

  const requestedAtMs = new Map<Table, Millis>();

  /** Requests the rows that this host lacks; of hosts that join together, only one is asked. */
  const requestRows = ({ link }: Member, table: Table) => {
    const now = clock.nowMs();
    if (now - (requestedAtMs.get(table) ?? -Infinity) < VIEW_INTERVAL_MS) return;
    requestedAtMs.set(table, now);
    link.send({ type: "want", table, revision: options.revision(table) });
  };

  const handlePlace = (member: Member, call: number, job: Job) => {
    const decision = scheduler.place(member.entry.host, job);
    if (!(decision instanceof Promise)) {
      member.link.send({ type: "placed", call, decision: encoders.encodeDecision(decision) });
      return;
    }
    member.link.send({ type: "waiting", call });
    tasks.run("answer after a wait", async () => {
      const settled = encoders.encodeDecision(await decision);
      member.link.send({ type: "placed", call, decision: settled });
    });
  };

  /** Hosts that stop together must learn soon how many of them are left. */
  const announceHosts = () => {
    const change = hostsDiff.takeChange();
    if (change !== undefined) broadcast({ type: "hosts", change });
  };

  const handleMessage = (member: Member, message: MemberMessage<Job, Report>) => {
    const { host } = member.entry;
    if (message.type === "place") handlePlace(member, message.call, message.job);
    else if (message.type === "ping") {
      const { isDraining = false } = message;
      const hasChanged = member.isDraining !== isDraining;
      member.isDraining = isDraining;
      if (hasChanged) announceHosts();
    } else if (message.type === "report") scheduler.report(host, message.report);
    else if (message.type === "rows") options.onRows(message.table, message.batch);
    else if (message.type === "gossip") options.gossip.receive(message.items);
    else if (message.type === "want") {
      sendChanges(member.link, message.table, message.revision);
    } else if (message.type === "fresh") {
      const { table = TABLE.SERVERS, span } = message;
      if (options.onMemberRead(table, span)) memberReadAtMs.set(table, clock.nowMs());
      else requestRows(member, table);
    }
  };

  const serveLink = async (socket: Socket) => {
    const link = createJsonLink<MemberMessage<Job, Report>, HubMessage<unknown> | ShortView>(
      socket,
      {
        idleTimeoutMs: LINK_IDLE_TIMEOUT_MS,
        parse: (value) => parseMemberMessage(value, options.parsers),
        traffic,
        memory,
      },
    );
    let member: Member | undefined;
    let heardAtMs = clock.nowMs();
    try {
      for await (const message of link.messages()) {
        heardAtMs = clock.nowMs();
        if (message.type === "hello") member = addMember(message, link);
        else if (message.type === "invite") options.onRows("hosts", message.hosts);
        else if (member !== undefined) handleMessage(member, message);
      }
    } catch (err) {
      log.info(
        { member: member?.entry.host, err: String(err), [ESSENTIAL]: true },
        "Link to member failed",
      );
    } finally {
      link.close();
      // The member may have connected again in the meantime; only its current link removes it.
      if (member !== undefined && members.get(member.entry.host) === member) {
        members.delete(member.entry.host);
        disconnectedAtMs.set(member.entry.host, clock.nowMs());
        // Members ping more often, and a timer may fire a little early.
        const isSilent = clock.nowMs() - heardAtMs >= LINK_IDLE_TIMEOUT_MS - VIEW_INTERVAL_MS;
        if (!member.isDraining && !isSilent) memberLostAtMs = clock.nowMs();
        // The members of a hub that leaves go to another one, and their jobs go on.
        if (!options.isDraining()) scheduler.forget(member.entry.host);
        log.info({ member: member.entry.host, [ESSENTIAL]: true }, "Member left");
      }
    }
  };

  const invite = async (entry: HostEntry) => {
    try {
      const socket = await connectSocket(entry.linkAddress, LINK_CONNECT_TIMEOUT_MS);
      socket.on("error", () => {});
      const message = { type: "invite", hosts: options.hostRows() };
      const line = encodeMessage(message);
      traffic.count(message, "sent", line);
      socket.end(line);
      log.info({ host: entry.host }, "Invited host without a link");
    } catch (err) {
      log.debug({ host: entry.host, err: String(err) }, "Inviting host failed");
    }
  };

  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
    tasks.run("serve link", () => serveLink(socket));
  });

  return {
    async start() {
      const separator = self.linkAddress.lastIndexOf(":");
      server.listen({
        host: self.linkAddress.slice(0, separator),
        port: Number(self.linkAddress.slice(separator + 1)),
      });
      await once(server, "listening");
      tasks.run("send views", async (signal) => {
        while (!signal.aborted) {
          await sleepUntilTick(VIEW_INTERVAL_MS, { clock, signal });
          announceHosts();
          sendView(members.values());
        }
      });
      tasks.run("invite hosts", async (signal) => {
        while (!signal.aborted) {
          await sleepUntilTick(INVITE_INTERVAL_MS, { clock, signal });
          if (!options.isHub()) continue;
          const unlinked = options.knownHosts()
            .filter((entry) => entry.host !== self.host && !members.has(entry.host));
          await Promise.all(unlinked.map(invite));
        }
      });
    },
    stop() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
    broadcast(table, batch, before) {
      cachedLines.delete(table);
      if (members.size === 0) return;
      const { rows, patches } = createRowPatches(batch.rows, before);
      // The view goes first, so that members know of a recovery of the store before they process
      // removed rows.
      sendView(members.values());
      broadcast({ type: "rows", table, batch: { ...batch, rows }, patches });
    },
    sendGossip: (items) => broadcast({ type: "gossip", items }),
    announceDraining: announceHosts,
    liveMembers: listLive,
    memberLostAgoMs: () => clock.nowMs() - memberLostAtMs,
    disconnectedMs(host) {
      if (members.has(host)) return 0;
      const at = disconnectedAtMs.get(host);
      return at === undefined ? undefined : clock.nowMs() - at;
    },
  };
}
