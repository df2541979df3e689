import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { once } from "node:events";
import { sleep } from "@jaypass/kernel";
import type { Clock, Logger, Millis, TaskGroup } from "@jaypass/kernel";
import {
  INVITE_INTERVAL_MS,
  LINK_CONNECT_TIMEOUT_MS,
  LINK_IDLE_TIMEOUT_MS,
  VIEW_INTERVAL_MS,
} from "./constants.ts";
import { encodeMessage } from "./_lib/encode_message.ts";
import { createRowPatches } from "./_lib/row_patches.ts";
import { createHostsDiff } from "./_lib/hosts_diff.ts";
import { connectSocket, createJsonLink } from "./_lib/json_link.ts";
import type { JsonLink } from "./_lib/json_link.ts";
import type { HubMessage, MemberMessage } from "./messages.ts";
import { TABLE } from "./types.ts";
import type { HostEntry, Row, RowBatch, Table } from "./types.ts";

/** Decides for the members of a hub. */
export interface HubScheduler<Job, Decision, Report> {
  /** Decides on a job of a member, at once or after a wait. */
  place(host: string, job: Job): Decision | Promise<Decision>;
  /** Takes a member's report of what it does. */
  report(host: string, report: Report): void;
  /** Forgets what a member did, since its link ended. */
  forget(host: string): void;
}

/** Options of {@linkcode createHubServer}. */
export interface HubServerOptions<Job, Decision, Report> {
  /** Entry of this host. */
  self: HostEntry;
  /** True while this host stops. */
  isDraining: () => boolean;
  /** Decides for the members. */
  scheduler: HubScheduler<Job, Decision, Report>;
  /** What a copy of a revision of a table lacks, for a new member. */
  changesSince: (table: Table, revision: number | undefined) => RowBatch;
  /** Takes rows that a member or a caller of this host passes on. */
  onRows: (table: Table, batch: RowBatch) => void;
  /** Contact with the store. */
  storeAge: () => { ageMs: Millis; recoveredAgoMs: Millis };
  /** Hosts that have a row. */
  knownHosts: () => HostEntry[];
  /** The hosts' table, for a host that knows nobody. */
  hostRows: () => RowBatch;
  /** True while this host invites others, since it is a hub. */
  isHub: () => boolean;
  /** Monotonic time source. */
  clock: Clock;
  /** Log of members that come and go. */
  log: Logger;
  /** Owner of the tasks. */
  tasks: TaskGroup;
}

/** The side of a hub towards its members. */
export interface HubServer {
  /** Starts to listen. */
  start(): Promise<void>;
  /** Stops listening and closes all links. */
  stop(): void;
  /** Passes rows on to all members; `before` has the rows as they were, as far as known. */
  broadcast(table: Table, batch: RowBatch, before: ReadonlyMap<string, Row | undefined>): void;
  /** Hosts with a link that do not stop. */
  liveMembers(): HostEntry[];
  /** Milliseconds since a host's link ended; 0 while it has one, undefined if it never had. */
  disconnectedMs(host: string): Millis | undefined;
}

interface Member<Decision> {
  entry: HostEntry;
  isDraining: boolean;
  link: JsonLink<unknown, HubMessage<Decision>>;
}

/**
 * Creates the side of a hub towards its members: one task a link.
 *
 * @param options the host, its copies of rows and its decisions
 * @returns the server, not yet started
 *
 * @example
 * const hubServer = createHubServer({ self, desk, ... });
 * await hubServer.start();
 */
export function createHubServer<Job, Decision, Report>(
  options: HubServerOptions<Job, Decision, Report>,
): HubServer {
  const { self, scheduler: desk, clock, log, tasks } = options;
  const members = new Map<string, Member<Decision>>();
  const goneAt = new Map<string, Millis>();
  const sockets = new Set<Socket>();

  const listLive = () =>
    [...members.values()].filter((member) => !member.isDraining).map((member) => member.entry);

  const listNamed = () => {
    const others = listLive().filter((entry) => entry.host !== self.host);
    return options.isDraining() ? others : [self, ...others];
  };
  const hostsDiff = createHostsDiff(listNamed);

  let memberReadMs = -Infinity;
  const roundAge = (ageMs: Millis) =>
    Number.isFinite(ageMs) ? Math.round(ageMs) : Number.MAX_SAFE_INTEGER;

  const describeView = (): HubMessage<Decision> => {
    const { ageMs, recoveredAgoMs } = options.storeAge();
    return {
      type: "view",
      ageMs: roundAge(Math.min(ageMs, clock.nowMs() - memberReadMs)),
      ownAgeMs: roundAge(ageMs),
      recoveredAgoMs: Number.isFinite(recoveredAgoMs) ? Math.round(recoveredAgoMs) : null,
    };
  };

  const broadcast = (...messages: HubMessage<Decision>[]) => {
    const lines = messages.map(encodeMessage);
    for (const { link } of members.values()) for (const line of lines) link.sendLine(line);
  };

  const batchLines = new Map<Table, { key: string; line: string }>();

  /** The line with what a new member lacks; after a restart of many hosts they lack the same. */
  const encodeChanges = (table: Table, sinceRevision: number | undefined): string => {
    const batch = options.changesSince(table, sinceRevision);
    const key = `${batch.sinceRevision} ${batch.revision}`;
    const known = batchLines.get(table);
    if (known?.key === key) return known.line;
    const line = encodeMessage({ type: "rows", table, batch });
    batchLines.set(table, { key, line });
    return line;
  };

  const welcome = (
    message: MemberMessage<Job, Report> & { type: "hello" },
    link: JsonLink<unknown, HubMessage<Decision>>,
  ): Member<Decision> => {
    const { entry, isDraining, reports, revisions } = message;
    members.get(entry.host)?.link.close();
    desk.forget(entry.host);
    for (const report of reports) desk.report(entry.host, report);
    const member = { entry, isDraining, link };
    members.set(entry.host, member);
    for (const table of Object.values(TABLE)) link.sendLine(encodeChanges(table, revisions[table]));
    link.send({ type: "hosts", change: { joined: listNamed(), left: [] } });
    link.send(describeView());
    log.info({ member: entry.host, reports: reports.length }, "Member joined");
    return member;
  };

  const answerPlace = (member: Member<Decision>, call: number, job: Job) => {
    const decision = desk.place(member.entry.host, job);
    if (!(decision instanceof Promise)) {
      member.link.send({ type: "placed", call, decision });
      return;
    }
    member.link.send({ type: "waiting", call });
    tasks.run("answer after a wait", async () => {
      member.link.send({ type: "placed", call, decision: await decision });
    });
  };

  const handleMessage = (member: Member<Decision>, message: MemberMessage<Job, Report>) => {
    const { host } = member.entry;
    if (message.type === "ping") member.isDraining = message.isDraining;
    else if (message.type === "report") desk.report(host, message.report);
    else if (message.type === "rows") options.onRows(message.table, message.batch);
    else if (message.type === "want") {
      member.link.sendLine(encodeChanges(message.table, message.revision));
    } else if (message.type === "fresh") memberReadMs = clock.nowMs();
    else if (message.type === "place") answerPlace(member, message.call, message.job);
  };

  const serveLink = async (socket: Socket) => {
    const link = createJsonLink<MemberMessage<Job, Report>, HubMessage<Decision>>(socket, {
      silentMs: LINK_IDLE_TIMEOUT_MS,
    });
    let member: Member<Decision> | undefined;
    try {
      for await (const message of link.messages()) {
        if (message.type === "hello") member = welcome(message, link);
        else if (message.type === "invite") options.onRows("hosts", message.hosts);
        else if (member !== undefined) handleMessage(member, message);
      }
    } catch (err) {
      log.info({ member: member?.entry.host, err: String(err) }, "Link to member failed");
    } finally {
      link.close();
      // A member that has linked again meanwhile stays.
      if (member !== undefined && members.get(member.entry.host) === member) {
        members.delete(member.entry.host);
        goneAt.set(member.entry.host, clock.nowMs());
        desk.forget(member.entry.host);
        log.info({ member: member.entry.host }, "Member left");
      }
    }
  };

  const invite = async (entry: HostEntry) => {
    try {
      const socket = await connectSocket(entry.linkAddress, LINK_CONNECT_TIMEOUT_MS);
      socket.on("error", () => {});
      socket.end(encodeMessage({ type: "invite", hosts: options.hostRows() }));
      log.info({ host: entry.host }, "Invited host without a link");
    } catch (err) {
      log.debug({ host: entry.host, err: String(err) }, "Host cannot be invited");
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
          await sleep(VIEW_INTERVAL_MS, signal);
          const change = hostsDiff.take();
          if (change !== undefined) broadcast({ type: "hosts", change });
          broadcast(describeView());
        }
      });
      tasks.run("invite hosts", async (signal) => {
        while (!signal.aborted) {
          await sleep(INVITE_INTERVAL_MS, signal);
          if (!options.isHub()) continue;
          const missing = options.knownHosts()
            .filter((entry) => entry.host !== self.host && !members.has(entry.host));
          await Promise.all(missing.map(invite));
        }
      });
    },
    stop() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
    broadcast(table, batch, before) {
      batchLines.delete(table);
      if (members.size === 0) return;
      const { rows, patches } = createRowPatches(batch.rows, before);
      // The view goes first: it says whether the store has just come back.
      broadcast(describeView(), { type: "rows", table, batch: { ...batch, rows }, patches });
    },
    liveMembers: listLive,
    disconnectedMs(host) {
      if (members.has(host)) return 0;
      const at = goneAt.get(host);
      return at === undefined ? undefined : clock.nowMs() - at;
    },
  };
}
