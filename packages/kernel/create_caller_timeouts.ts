import type { Socket } from "node:net";
import { computeIdleRemainingMs } from "./_lib/compute_idle_remaining_ms.ts";
import { runAfterRead } from "./run_after_read.ts";
import type { Clock, Millis } from "./types.ts";

/** The timeouts of callers' connections. */
export interface CallerTimeouts {
  /** Records that the headers of a request have arrived. */
  requestArrived(socket: Socket): void;
  /** Records that the answer to a request has left. */
  requestEnded(socket: Socket): void;
  /** Handles the end of a connection's idle time; calls `close` if no request has arrived. */
  handleIdleTimeout(socket: Socket, close: () => void): void;
  /**
   * Handles headers that were not there when their timeout was checked; calls `close` if they are
   * still missing after the socket has been read. `parse` parses what was read and waits for its turn;
   * by default nothing waits.
   */
  handleHeaderTimeout(socket: Socket, close: () => void, parse?: () => void): void;
}

/** Options of {@linkcode createCallerTimeouts}. */
export interface CallerTimeoutsOptions {
  /** Monotonic time source. */
  clock: Clock;
  /** Idle time that the configuration allows now, which answers announce. */
  idleTimeoutMs: () => Millis;
}

interface ConnectionRecord {
  /** Requests whose headers have arrived. */
  arrivedCount: number;
  /** Requests whose answer has left. */
  endedCount: number;
  announcedMs: Millis;
  idleSinceMs: Millis;
}

/**
 * Creates the timeouts of callers' connections.
 *
 * Node.js runs timers before it reads sockets. After a stall of the process, a timeout may therefore
 * pass although a whole request waits in the socket's buffer, so that sockets are read first.
 *
 * @param options clock and limits
 * @returns the timeouts
 *
 * @example
 * server.on("timeout", (socket) => timeouts.handleIdleTimeout(socket, () => socket.end()));
 */
export function createCallerTimeouts(options: CallerTimeoutsOptions): CallerTimeouts {
  const { clock, idleTimeoutMs } = options;
  const records = new WeakMap<Socket, ConnectionRecord>();

  const findRecord = (socket: Socket): ConnectionRecord => {
    const known = records.get(socket);
    if (known !== undefined) return known;
    const idleSinceMs = clock.nowMs();
    const record = { arrivedCount: 0, endedCount: 0, announcedMs: 0, idleSinceMs };
    records.set(socket, record);
    return record;
  };

  return {
    requestArrived(socket) {
      const record = findRecord(socket);
      record.arrivedCount += 1;
      record.announcedMs = idleTimeoutMs();
    },
    requestEnded(socket) {
      const record = findRecord(socket);
      record.endedCount += 1;
      record.idleSinceMs = clock.nowMs();
    },
    handleIdleTimeout(socket, close) {
      const { bytesRead } = socket;
      runAfterRead(() => {
        if (socket.destroyed) return;
        const { arrivedCount, endedCount, announcedMs, idleSinceMs } = findRecord(socket);
        const remainingMs = computeIdleRemainingMs({
          requestCount: arrivedCount - endedCount,
          newBytes: socket.bytesRead - bytesRead,
          idleMs: clock.nowMs() - idleSinceMs,
          announcedMs,
          limitMs: idleTimeoutMs(),
        });
        if (remainingMs === 0) close();
        else if (remainingMs !== undefined) socket.setTimeout(Math.ceil(remainingMs));
      }, { clock });
    },
    handleHeaderTimeout(socket, close, parse = () => {}) {
      const { arrivedCount } = findRecord(socket);
      runAfterRead(() => {
        if (!socket.destroyed) parse();
        if (!socket.destroyed && findRecord(socket).arrivedCount === arrivedCount) close();
      }, { clock });
    },
  };
}
