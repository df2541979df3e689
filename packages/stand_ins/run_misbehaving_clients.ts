import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { sleep } from "@jaypass/kernel";
import { MISBEHAVING_CLIENT } from "./misbehaving_clients.ts";
import type { MisbehavingClientName, MisbehavingTarget } from "./misbehaving_clients.ts";

/** Connections that are opened at a time, so that the queue of the listener does not overflow. */
const CONNECT_BATCH = 100;

/** Time between two batches. */
const CONNECT_INTERVAL_MS = 50;

/** Options of {@linkcode runMisbehavingClients}. */
export interface MisbehavingClientsOptions extends MisbehavingTarget {
  /** IP address and port of the server. */
  address: string;
  /** What each client sends. */
  client: MisbehavingClientName;
  /** Number of clients, each with a connection of its own. */
  count: number;
  /** Address that the clients connect from. */
  localAddress: string;
}

/** Clients that have sent all that they send. */
export interface MisbehavingClients {
  /** Closes their connections. */
  close(): void;
}

/**
 * Runs clients that keep no limits against a server, and leaves their connections open.
 *
 * @param options the server, and what the clients send
 * @returns the clients, when all of them have acted
 *
 * @example
 * const clients = await runMisbehavingClients({ address, client: "emptyLines", count: 100, ...target });
 * clients.close();
 */
export async function runMisbehavingClients(
  options: MisbehavingClientsOptions,
): Promise<MisbehavingClients> {
  const { address, client, count, localAddress } = options;
  const [host = "", port] = address.split(":");
  const sockets: Socket[] = [];
  const runs: Promise<void>[] = [];
  const run = async () => {
    const socket = connect({ host, port: Number(port), localAddress });
    socket.on("error", () => {});
    sockets.push(socket);
    await Promise.race([once(socket, "connect"), once(socket, "close")]).catch(() => {});
    if (!socket.destroyed) await MISBEHAVING_CLIENT[client](socket, options);
  };
  while (runs.length < count) {
    const batch = Math.min(CONNECT_BATCH, count - runs.length);
    for (let index = 0; index < batch; index++) runs.push(run());
    await sleep(CONNECT_INTERVAL_MS);
  }
  await Promise.all(runs);
  return {
    close() {
      for (const socket of sockets) socket.destroy();
    },
  };
}
