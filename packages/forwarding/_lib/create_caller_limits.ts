import type { Socket } from "node:net";
import type { Millis } from "@jaypass/kernel";
import { LIMIT_LOG_INTERVAL_MS } from "../constants.ts";
import { CLOSE_REASON } from "../types.ts";
import type { CallerConnections } from "./create_caller_connections.ts";
import type { ConnectionCloser } from "./create_connection_closer.ts";
import { createConnectionGate } from "./create_connection_gate.ts";
import type { ReceivedHead } from "./create_connection_gate.ts";
import { createMemoryAccount } from "./create_memory_account.ts";
import type { MemoryHolder } from "./create_memory_account.ts";
import { CONNECTION_DECISION, decideConnection } from "./decide_connection.ts";
import type { ForwardingContext } from "./request_context.ts";

/** Limits what callers make the host hold. */
export interface CallerLimiter {
  /** Closes a new connection, and returns false, if too many are open. */
  admit(socket: Socket): boolean;
  /** Takes over the reads of a connection that was registered. */
  open(socket: Socket): void;
  /** Finds the part of the memory account that belongs to a connection. */
  findHolder(socket: Socket): MemoryHolder | undefined;
  /** Goes on with a connection after an answer on it has ended. */
  advance(socket: Socket): void;
  /** Parses all bytes of a connection that may be parsed now. */
  flush(socket: Socket): void;
  /** Reports whether bytes of a next request wait behind whole requests in progress. */
  hasNext(socket: Socket): boolean;
  /** Reads when the head came that is being parsed, and its length; undefined outside of the parser. */
  readHead(socket: Socket): ReceivedHead | undefined;
}

/** An open connection. */
interface OpenConnection {
  address: string;
  sinceMs: Millis;
  holder: MemoryHolder | undefined;
}

/**
 * Creates the limits on callers of a host.
 *
 * @param context limits, clock, log and metrics of the host
 * @param options connections of callers, their closer, and what is done with a head without end
 * @returns the limits; undefined if the host has none
 */
export function createCallerLimits(
  { limits, clock, log, metrics }: Pick<
    ForwardingContext,
    "limits" | "clock" | "log" | "metrics"
  >,
  { connections, closer, onEndlessHead }: {
    connections: CallerConnections;
    closer: ConnectionCloser;
    onEndlessHead: (socket: Socket) => void;
  },
): CallerLimiter | undefined {
  if (limits === undefined) return undefined;
  const { heldBytes, connections: limit = Infinity, addressConnections = Infinity } = limits;
  if (heldBytes === undefined && limit === Infinity) return undefined;
  const account = createMemoryAccount(heldBytes ?? Infinity);
  const gate = createConnectionGate({ clock, connections, onEndlessHead });
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
  const release = (socket: Socket) => {
    count(CLOSE_REASON.MEMORY);
    const isOld = connections.listAnswers(socket).some(({ req }) => req.httpVersion === "1.0");
    // An answer in HTTP/1.0 would look complete without a reset.
    closer.close(
      socket,
      CLOSE_REASON.MEMORY,
      () => isOld ? socket.resetAndDestroy() : socket.destroy(),
    );
  };
  /** Finds the idle connection of the address with the most connections, the oldest of these. */
  const findIdle = (): Socket | undefined => {
    let found: Socket | undefined;
    let best = { addressCount: 0, sinceMs: Infinity };
    for (const [socket, { address, sinceMs }] of open) {
      if (socket.destroyed || connections.listAnswers(socket).length > 0) continue;
      const addressCount = countByAddress.get(address) ?? 0;
      if (addressCount < best.addressCount) continue;
      if (addressCount === best.addressCount && sinceMs >= best.sinceMs) continue;
      found = socket;
      best = { addressCount, sinceMs };
    }
    return found;
  };

  return {
    admit(socket) {
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
        closer.close(idle, CLOSE_REASON.CONNECTION_LIMIT, () => idle.destroy());
        return true;
      }
      socket.destroy();
      return false;
    },
    open(socket) {
      const address = socket.remoteAddress ?? "";
      const holder = heldBytes === undefined ? undefined : account.open(() => release(socket));
      open.set(socket, { address, sinceMs: clock.nowMs(), holder });
      countByAddress.set(address, (countByAddress.get(address) ?? 0) + 1);
      socket.once("close", () => {
        open.delete(socket);
        holder?.close();
        const left = (countByAddress.get(address) ?? 0) - 1;
        if (left > 0) countByAddress.set(address, left);
        else countByAddress.delete(address);
      });
      if (holder !== undefined) gate.open(socket, holder);
    },
    findHolder: (socket) => open.get(socket)?.holder,
    advance(socket) {
      const connection = open.get(socket);
      if (connection !== undefined) connection.sinceMs = clock.nowMs();
      gate.advance(socket);
    },
    flush: (socket) => gate.flush(socket),
    hasNext: (socket) => gate.hasNext(socket),
    readHead: (socket) => gate.readHead(socket),
  };
}
