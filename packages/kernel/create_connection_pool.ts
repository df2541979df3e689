import { Agent } from "node:http";
import type { Socket } from "node:net";
import type { Clock, Millis } from "./types.ts";

/** A call whose connection is known. */
export interface PooledCall {
  /**
   * Records that the call's answer is overdue: every connection that has delivered no whole answer since
   * before the call was sent becomes suspect.
   */
  reportSilence(): void;
  /** Ends the call; `isWhole` tells whether a whole answer has arrived. */
  end(isWhole: boolean): void;
}

/** Kept connections to one address, and what the silence of one says about the others. */
export interface ConnectionPool {
  /** Opens and keeps the connections. */
  agent: Agent;
  /**
   * Registers a call that is about to be sent.
   *
   * @param socket connection of the call
   * @param onSuspect called at most once, when the connection becomes suspect during the call
   */
  startCall(socket: Socket, onSuspect: () => void): PooledCall;
}

interface Connection {
  openedMs: Millis;
  /** Time of the last whole answer; that of the opening before the first one. */
  provenMs: Millis;
  call: { onSuspect: () => void } | undefined;
}

/**
 * Creates a pool without connections.
 *
 * Connections can go silent without a reset, all of one age at once and even in the middle of an answer,
 * while new ones work. If each were found silent by a call of its own, as many time limits would pass as
 * there are connections. Therefore one silent call makes all connections suspect that were open when it
 * was sent and have delivered no whole answer since. Idle ones are closed. The calls in progress are only
 * told, since a long poll is silent for other reasons too: they can be repeated on a new connection and
 * keep the first one meanwhile.
 *
 * @param clock monotonic time source
 * @returns the pool
 *
 * @example
 * const pool = createConnectionPool(clock);
 * request({ agent: pool.agent }).once("socket", (socket) => pool.startCall(socket, repeat));
 */
export function createConnectionPool(clock: Clock): ConnectionPool {
  const agent = new Agent({ keepAlive: true });
  const connections = new Map<Socket, Connection>();

  const register = (socket: Socket): Connection => {
    const now = clock.nowMs();
    const connection = { openedMs: now, provenMs: now, call: undefined };
    connections.set(socket, connection);
    socket.once("close", () => connections.delete(socket));
    return connection;
  };

  const suspectSince = (sinceMs: Millis) => {
    for (const [socket, connection] of [...connections]) {
      if (connection.openedMs >= sinceMs || connection.provenMs > sinceMs) continue;
      const { call } = connection;
      if (call === undefined) socket.destroy();
      else call.onSuspect();
    }
  };

  return {
    agent,
    startCall(socket, onSuspect) {
      const known = connections.get(socket);
      const connection = known ?? register(socket);
      // The silence of a connection that was opened for the call does not make itself suspect.
      const sentMs = known === undefined ? connection.openedMs : clock.nowMs();
      let isToldSuspect = false;
      const call = {
        onSuspect() {
          if (isToldSuspect) return;
          isToldSuspect = true;
          onSuspect();
        },
      };
      connection.call = call;
      return {
        reportSilence: () => suspectSince(sentMs),
        end(isWhole) {
          if (connection.call !== call) return;
          if (isWhole) connection.provenMs = clock.nowMs();
          connection.call = undefined;
        },
      };
    },
  };
}
