import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { getHeapStatistics } from "node:v8";
import type { Clock, Logger, Metrics, Millis } from "@jaypass/kernel";
import type { HostLimits } from "./compute_host_limits.ts";
import { LIMIT_LOG_INTERVAL_MS } from "./constants.ts";
import { createMemoryAccount } from "./create_memory_account.ts";
import { computeHeadLimit } from "./_lib/compute_head_limit.ts";
import { createAddressReads } from "./_lib/create_address_reads.ts";
import { createConnectionGate } from "./_lib/create_connection_gate.ts";
import type { ConnectionGate, ReceivedHead } from "./_lib/create_connection_gate.ts";
import { createMemoryReclaimer } from "./_lib/create_memory_reclaimer.ts";
import { openConnectionMemory } from "./_lib/open_connection_memory.ts";
import type { ConnectionMemory } from "./_lib/open_connection_memory.ts";
import { createTurnQueue } from "./_lib/create_turn_queue.ts";
import { CONNECTION_DECISION, decideConnection } from "./_lib/decide_connection.ts";

/** Why a limit closes a connection. */
export const LIMIT_CLOSE = {
  /** What it made the process hold was the most, and the process held too much. */
  MEMORY: "memory",
  /** Too many connections were open, and no request ran on this one. */
  CONNECTION_LIMIT: "connection_limit",
} as const;

/** One of {@linkcode LIMIT_CLOSE}. */
export type LimitClose = typeof LIMIT_CLOSE[keyof typeof LIMIT_CLOSE];

/** What the limits need to know of an HTTP server, and what they have it do. */
export interface LimitedServer {
  /** Lists the answers to the requests in progress on a connection. */
  listAnswers(socket: Socket): ServerResponse[];
  /** Reports whether no further request is to be read from a connection. */
  isEnding(socket: Socket): boolean;
  /** Refuses a head without end. */
  onEndlessHead(socket: Socket): void;
  /** Closes a connection by calling `shut`. */
  close(socket: Socket, reason: LimitClose, shut: () => void): void;
}

/** The limits on the connections of one server. */
export interface ConnectionLimits {
  /** Closes a new connection, and returns false, if too many are open. */
  admit(socket: Socket): boolean;
  /** Takes over the reads of a connection that was registered. */
  open(socket: Socket): void;
  /** Finds the part of the memory account that belongs to a connection. */
  findHolder(socket: Socket): ConnectionMemory | undefined;
  /** Goes on with a connection after an answer on it has ended. */
  advance(socket: Socket): void;
  /** Parses all bytes of a connection that may be parsed now. */
  flush(socket: Socket): void;
  /** Reports whether bytes of a next request wait behind whole requests in progress. */
  hasNext(socket: Socket): boolean;
  /** Reads when the head came that is being parsed, and its length; undefined outside of the parser. */
  readHead(socket: Socket): ReceivedHead | undefined;
  /** Counts that a limit took effect, by its reason, and logs it at a bounded rate. */
  count(reason: string): void;
}

/** The limits on what clients make a process hold and work, over all of its servers. */
export interface ClientLimits {
  /** Attaches a server, which reports its connections from then on. */
  attach(server: LimitedServer): ConnectionLimits;
}

/** Options of {@linkcode createClientLimits}. */
export interface ClientLimitsOptions {
  /** The limits of the machine. */
  limits: HostLimits;
  clock: Clock;
  log: Logger;
  metrics: Metrics;
}

/** An open connection. */
interface OpenConnection {
  server: LimitedServer;
  address: string;
  sinceMs: Millis;
  holder: ConnectionMemory | undefined;
}

/**
 * Creates the limits on clients, which all servers of a process share.
 *
 * @param options limits of the machine, clock, log and metrics
 * @returns the limits; undefined if the machine states none
 *
 * @example
 * const limits = createClientLimits({ limits: computeHostLimits(machine), clock, log, metrics });
 * const connections = limits?.attach(server);
 */
export function createClientLimits(
  { limits, clock, log, metrics }: ClientLimitsOptions,
): ClientLimits | undefined {
  const { heldBytes, connections: limit = Infinity, addressConnections = Infinity } = limits;
  if (heldBytes === undefined && limit === Infinity) return undefined;
  // Not logged: both come about in calm as well, when much is served and when a machine is slow.
  const countOnly = (reason: string) => metrics.increment("caller_limit", { reason });
  const account = createMemoryAccount(
    heldBytes ?? Infinity,
    heldBytes === undefined ? undefined : createMemoryReclaimer({
      limitBytes: heldBytes,
      clock,
      onFull: () => countOnly("collection"),
    }),
  );
  const headAccount = createMemoryAccount(computeHeadLimit(getHeapStatistics().heap_size_limit));
  const turns = createTurnQueue(clock);
  const addressReads = createAddressReads(heldBytes ?? Infinity, () => count("address_unread"));
  const open = new Map<Socket, OpenConnection>();
  const countByAddress = new Map<string, number>();
  const counts: Record<string, number> = {};
  let loggedMs = -Infinity;

  const count = (reason: string) => {
    metrics.increment("caller_limit", { reason });
    counts[reason] = (counts[reason] ?? 0) + 1;
    const now = clock.nowMs();
    if (now - loggedMs < LIMIT_LOG_INTERVAL_MS) return;
    loggedMs = now;
    log.warn(
      { ...counts, heldBytes: account.heldBytes(), connections: open.size },
      "Limits on callers took effect",
    );
    for (const key of Object.keys(counts)) delete counts[key];
  };
  /** Finds the idle connection of the address with the most connections, the oldest of these. */
  const findIdle = (): [Socket, OpenConnection] | undefined => {
    let found: [Socket, OpenConnection] | undefined;
    let best = { addressCount: 0, sinceMs: Infinity };
    for (const entry of open) {
      const [socket, { server, address, sinceMs }] = entry;
      if (socket.destroyed || server.listAnswers(socket).length > 0) continue;
      const addressCount = countByAddress.get(address) ?? 0;
      if (addressCount < best.addressCount) continue;
      if (addressCount === best.addressCount && sinceMs >= best.sinceMs) continue;
      found = entry;
      best = { addressCount, sinceMs };
    }
    return found;
  };
  const admit = (socket: Socket): boolean => {
    const fromAddress = countByAddress.get(socket.remoteAddress ?? "") ?? 0;
    const idle = open.size < limit ? undefined : findIdle();
    const decision = decideConnection({
      open: open.size,
      fromAddress,
      idle: idle === undefined ? 0 : 1,
      limit,
      addressLimit: addressConnections,
    });
    if (decision === CONNECTION_DECISION.ACCEPT) return true;
    count(decision);
    if (decision === CONNECTION_DECISION.REPLACE_IDLE && idle !== undefined) {
      const [replaced, { server }] = idle;
      server.close(replaced, LIMIT_CLOSE.CONNECTION_LIMIT, () => replaced.destroy());
      return true;
    }
    socket.destroy();
    return false;
  };
  const release = (socket: Socket, server: LimitedServer) => {
    count(LIMIT_CLOSE.MEMORY);
    const isOld = server.listAnswers(socket).some(({ req }) => req.httpVersion === "1.0");
    // An answer in HTTP/1.0 would look complete without a reset.
    server.close(
      socket,
      LIMIT_CLOSE.MEMORY,
      () => isOld ? socket.resetAndDestroy() : socket.destroy(),
    );
  };
  const openConnection = (socket: Socket, server: LimitedServer, gate: ConnectionGate) => {
    const address = socket.remoteAddress ?? "";
    const holder = heldBytes === undefined
      ? undefined
      : openConnectionMemory({ account, headAccount }, {
        address,
        release: () => release(socket, server),
      });
    open.set(socket, { server, address, sinceMs: clock.nowMs(), holder });
    countByAddress.set(address, (countByAddress.get(address) ?? 0) + 1);
    socket.once("close", () => {
      open.delete(socket);
      holder?.close();
      const left = (countByAddress.get(address) ?? 0) - 1;
      if (left > 0) countByAddress.set(address, left);
      else countByAddress.delete(address);
    });
    if (holder !== undefined) gate.open(socket, holder);
  };

  return {
    attach(server) {
      const gate = createConnectionGate({
        clock,
        turns,
        addressReads,
        drop: account.drop,
        onLongTurn: () => countOnly("turn_time"),
        server,
      });
      return {
        admit,
        open: (socket) => openConnection(socket, server, gate),
        findHolder: (socket) => open.get(socket)?.holder,
        advance(socket) {
          const connection = open.get(socket);
          if (connection !== undefined) connection.sinceMs = clock.nowMs();
          gate.advance(socket);
        },
        flush: (socket) => gate.flush(socket),
        hasNext: (socket) => gate.hasNext(socket),
        readHead: (socket) => gate.readHead(socket),
        count,
      };
    },
  };
}
