import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { endConnection, ESSENTIAL } from "@jaypass/kernel";
import type { Clock, Logger, Metrics, Millis } from "@jaypass/kernel";
import { CLOSE_LINGER_MS, CLOSING_ANSWER } from "../constants.ts";
import { CLOSE_REASON } from "../types.ts";
import type { CloseReason } from "../types.ts";

/** Numbers of open connections of callers. */
export interface ConnectionCounts {
  /** All open connections. */
  connections: number;
  /** Those without a request in progress, the unused ones included. */
  idle: number;
  /** Those on which no request has come since they were accepted. */
  unused: number;
}

/** Closes connections of callers, and logs and counts each close with its reason. */
export interface ConnectionCloser {
  /** Registers a connection that was accepted. */
  accept(socket: Socket): void;
  /**
   * Ends a connection that was accepted in the exit of the host, with a refusal. It is counted and not
   * logged: the host logs the number of such connections, and lines of each would displace others.
   */
  refuse(socket: Socket): void;
  /** Records that the headers of a request were read. */
  begin(req: IncomingMessage): void;
  /** Records that the answer to a request has ended. */
  end(res: ServerResponse, socket: Socket): void;
  /** Records a request that was read and is not handled, since its connection is to be closed. */
  skip(socket: Socket): void;
  /**
   * Closes a connection.
   *
   * @param socket the connection
   * @param reason why it is closed
   * @param shut closes the socket; by default, once all that was written has left the process
   */
  close(socket: Socket, reason: CloseReason, shut?: (socket: Socket) => void): void;
  /** Closes all connections at once, for a process that ends now. */
  closeAll(): void;
  /** Counts the open connections. */
  counts(): ConnectionCounts;
}

/** What is known of an open connection. */
interface ConnectionRecord {
  /** IP address and port of the caller, by which its own records name the connection. */
  caller: string;
  /** Monotonic time of the accept or of the end of the last answer. */
  idleSinceMs: Millis;
  requests: number;
  inProgress: number;
  skipped: number;
  /** Value of `socket.bytesRead` at the end of the last whole request. */
  parsedBytes: number;
  /** True if the caller asked for the close after its last request. */
  isLast: boolean;
  /** True once the host has ended its side after an answer. */
  isEnded: boolean;
  /** Why the host closes it, and its idle time then; undefined while the host does not. */
  closed: { reason: CloseReason; idleMs: Millis | undefined } | undefined;
}

/**
 * Creates the closer of callers' connections.
 *
 * A line tells how many bytes came after the last whole request (`unreadBytes`), those of an
 * incomplete request in progress included. Bytes of a next request that were read together with the
 * end of the one before it are not in that number, and neither are bytes that the operating system
 * holds, or that are still on their way: Node.js reports none of them. A caller whose request was
 * among them sees a closed connection at the time of the line, so the line names its address.
 *
 * @param options clock, log and metrics
 * @returns the closer, without connections
 */
export function createConnectionCloser(
  options: { clock: Clock; log: Logger; metrics: Metrics },
): ConnectionCloser {
  const { clock, log, metrics } = options;
  const records = new Map<Socket, ConnectionRecord>();
  const refused = new Set<Socket>();

  const readIdleMs = ({ inProgress, idleSinceMs }: ConnectionRecord) =>
    inProgress > 0 ? undefined : Math.round(clock.nowMs() - idleSinceMs);

  const logClose = (socket: Socket, record: ConnectionRecord) => {
    const { reason, idleMs } = record.closed ??
      { reason: findReason(socket, record), idleMs: readIdleMs(record) };
    metrics.increment("caller_close", { reason });
    const { caller, requests, inProgress, skipped, parsedBytes } = record;
    const { bytesRead } = socket;
    const unreadBytes = Math.max(0, bytesRead - parsedBytes);
    if (reason === CLOSE_REASON.CALLER) return;
    if (reason === CLOSE_REASON.CALLER_REQUEST && unreadBytes === 0) return;
    log.info({
      reason,
      caller,
      idleMs,
      requests,
      inProgress,
      skipped,
      bytesRead,
      unreadBytes,
      [ESSENTIAL]: true,
    }, "Connection of a caller closed");
  };

  const accept = (socket: Socket): ConnectionRecord => {
    const record: ConnectionRecord = {
      caller: `${socket.remoteAddress}:${socket.remotePort}`,
      idleSinceMs: clock.nowMs(),
      requests: 0,
      inProgress: 0,
      skipped: 0,
      parsedBytes: 0,
      isLast: false,
      isEnded: false,
      closed: undefined,
    };
    records.set(socket, record);
    // Node.js calls this after an answer that announces the close. To close the socket at once would
    // reset the connection if the caller had sent more, and the caller could lose the answer.
    socket.destroySoon = () => {
      record.isEnded = true;
      endConnection(socket, { lingerMs: CLOSE_LINGER_MS });
    };
    // Bytes may still be read after the decision to close, so the line is written at the close.
    socket.once("close", () => {
      if (records.delete(socket)) logClose(socket, record);
    });
    return record;
  };

  const close: ConnectionCloser["close"] = (
    socket,
    reason,
    shut = (open) => open.destroySoon(),
  ) => {
    const record = records.get(socket);
    if (record !== undefined) record.closed ??= { reason, idleMs: readIdleMs(record) };
    shut(socket);
  };

  return {
    accept: (socket) => void accept(socket),
    refuse(socket) {
      refused.add(socket);
      socket.once("close", () => {
        if (refused.delete(socket)) {
          metrics.increment("caller_close", { reason: CLOSE_REASON.EXIT });
        }
      });
      endConnection(socket.resume(), { lingerMs: CLOSE_LINGER_MS, lastBytes: CLOSING_ANSWER });
    },
    begin(req) {
      const { socket } = req;
      const record = records.get(socket) ?? accept(socket);
      record.requests += 1;
      record.inProgress += 1;
      req.once("end", () => void (record.parsedBytes = socket.bytesRead));
    },
    end(res, socket) {
      const record = records.get(socket);
      if (record === undefined) return;
      record.inProgress -= 1;
      record.idleSinceMs = clock.nowMs();
      record.isLast = !res.shouldKeepAlive;
    },
    skip(socket) {
      const record = records.get(socket);
      if (record !== undefined) record.skipped += 1;
    },
    close,
    closeAll() {
      for (const [socket, record] of records) {
        close(socket, CLOSE_REASON.EXIT, (open) => open.destroy());
        // The process ends before the event.
        records.delete(socket);
        logClose(socket, record);
      }
      for (const socket of refused) socket.destroy();
    },
    counts() {
      const open = [...records.values()];
      return {
        connections: open.length + refused.size,
        idle: open.filter(({ inProgress }) => inProgress === 0).length + refused.size,
        unused: open.filter(({ requests }) => requests === 0).length + refused.size,
      };
    },
  };
}

/** Finds out why a connection closed that was not closed through the closer. */
function findReason(socket: Socket, { isLast, isEnded }: ConnectionRecord): CloseReason {
  const isByCaller = socket.readableEnded || socket.errored !== null;
  if (isByCaller && !isEnded) return CLOSE_REASON.CALLER;
  // Otherwise only Node.js closes it by itself, after an answer that announced the close.
  return isLast ? CLOSE_REASON.CALLER_REQUEST : CLOSE_REASON.ANNOUNCED;
}
