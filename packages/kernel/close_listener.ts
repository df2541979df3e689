import { Server } from "node:net";
import type { Socket } from "node:net";
import type { Clock, Millis } from "./types.ts";

/**
 * Longest turn of the event loop after which the listener is closed. Connections that come during the
 * callbacks of a longer one would be reset.
 */
const MAX_TURN_MS = 0.2;

/**
 * Part of the time since the begin of the close by which this grows, so that a server whose turns are all
 * longer closes its listener as well.
 */
const MAX_TURN_GROWTH = 0.01;

/** Longest time for which accepted connections wait to be served while others keep coming. */
const MAX_WAIT_MS: Millis = 50;

/** Options of {@linkcode closeListener}. */
export interface CloseListenerOptions {
  /** Monotonic time source. */
  clock: Pick<Clock, "nowMs">;
  /** Reports whether the listener must be closed although connections may wait. */
  isDue: () => boolean;
  /**
   * Ends a connection that is accepted during the close; by default the server serves it. To refuse
   * takes far less time than to serve, so that callers who connect fast do not keep the queue filled.
   */
  refuse?: (socket: Socket) => void;
}

/** How a listener was closed. */
export interface ListenerClose {
  /** Connections that were accepted during the close. */
  acceptedCount: number;
  /** True if the limit passed first, so that connections may have waited, which are reset. */
  isForced: boolean;
}

/**
 * Closes the listener of a server once no connection waits to be accepted, and leaves the accepted
 * ones open.
 *
 * The operating system resets the connections that wait when the listener is closed. libuv accepts one
 * connection in each turn of the event loop, so a turn without one shows that none waited when it
 * polled. Connections are refused, or served in batches, since callers could connect faster than a busy
 * server accepts and serves.
 *
 * A connection that is established between the last poll and the close is still reset, and so is one
 * whose handshake is in progress at the close. No call of Node.js refuses connections without this.
 *
 * @param server the server, which may be an HTTP server
 * @param options clock and time limit
 * @returns how it was closed
 *
 * @example
 * await closeListener(server, { clock, isDue: () => clock.nowMs() >= endMs });
 */
export async function closeListener(
  server: Server,
  options: CloseListenerOptions,
): Promise<ListenerClose> {
  const { clock, refuse } = options;
  let accepted: Socket[] = [];
  let acceptedCount = 0;
  let servedAtMs = clock.nowMs();
  const listeners = server.listeners("connection");
  const serveAccepted = () => {
    const batch = accepted;
    accepted = [];
    servedAtMs = clock.nowMs();
    for (const socket of batch) {
      if (socket.destroyed) continue;
      for (const listener of listeners) listener.call(server, socket);
    }
  };
  server.removeAllListeners("connection").on("connection", (socket) => {
    acceptedCount += 1;
    socket.on("error", () => {});
    if (refuse !== undefined) {
      refuse(socket);
      return;
    }
    accepted.push(socket);
    if (clock.nowMs() - servedAtMs > MAX_WAIT_MS) serveAccepted();
  });
  // The first call compiles the function, which takes longer than a turn without events.
  stopListening(new Server());
  // The rest of a turn may not poll, unlike a whole one.
  await endTurn();
  const isForced = await closeWhenNoneWaits(server, () => acceptedCount, options);
  serveAccepted();
  // The requests of the connections accepted last are read in a further turn.
  await endTurn();
  return { acceptedCount, isForced };
}

/**
 * Closes a listener in the callback that follows a poll in which no connection was accepted, or at its
 * limit; returns true in the latter case.
 */
function closeWhenNoneWaits(
  server: Server,
  acceptedCount: () => number,
  { clock, isDue }: CloseListenerOptions,
): Promise<boolean> {
  return new Promise((resolve) => {
    const beginMs = clock.nowMs();
    const startTurn = () => {
      const count = acceptedCount();
      const startMs = clock.nowMs();
      setImmediate(() => {
        const isEmpty = acceptedCount() === count;
        const maxTurnMs = MAX_TURN_MS + (startMs - beginMs) * MAX_TURN_GROWTH;
        const isShort = clock.nowMs() - startMs <= maxTurnMs;
        const isQueueEmpty = isEmpty && isShort;
        if (!isQueueEmpty && !isDue()) {
          startTurn();
          return;
        }
        stopListening(server);
        resolve(!isQueueEmpty);
      });
    };
    startTurn();
  });
}

/** Closes a listener; the method of HTTP servers closes idle connections as well, also unread ones. */
function stopListening(server: Server): void {
  Server.prototype.close.call(server);
}

/** Waits for the phase of the event loop that follows the one in which it polls. */
function endTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
