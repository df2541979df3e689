/**
 * Worker process of the control plane benchmark. It runs some of the hosts and answers requests of its
 * parent process.
 *
 * @module
 */
import { type ControlHost, startControlHost } from "./start_control_host.ts";
import { createIpc, type IpcPort } from "./create_ipc.ts";
import { monitorEventLoopDelay } from "node:perf_hooks";
import type { HostListClient, ListedHost } from "@jaypass/store_clients";
import type { PeerTls } from "@jaypass/peers";
import type { Socket } from "node:net";
import { sleep } from "@jaypass/kernel";
import { subscribe } from "node:diagnostics_channel";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Settings that the parent process sends to a worker at its start. */
export interface WorkerSettings {
  ids: string[];
  seed: number;
  tls: PeerTls;
  topology: "ring" | "mesh";
}

/** Totals of a worker since its start. */
export interface WorkerTotals {
  countedBytes: number;
  /** Bytes of the sockets that this process opened, in both directions. */
  socketBytes: number;
  openSockets: number;
  cpuMs: number;
  heapBytes: number;
  rssBytes: number;
  falseDeaths: number;
  /** Longest delay of the event loop. */
  maxStallMs: number;
}

/** A condition on the view of each host of the worker. */
export interface WatchCondition {
  /** Hosts that must be in state "alive". */
  alive?: string[];
  /** Incarnations by host; the host in question must be known with a newer one. */
  newerThan?: Record<string, string>;
  /** Host that must be in state "dead". */
  dead?: string;
  /** Lowest revision of the digest. */
  revision?: number;
  timeoutMs: number;
}

/** Interval at which `watch` checks its condition. */
const POLL_MS = 50;
const loopDelay = monitorEventLoopDelay({ resolution: 20 });
loopDelay.enable();
const hosts = new Map<string, ControlHost>();
let settings: WorkerSettings;
let random = () => 0;
let closedBytes = 0;
let killedBytes = 0;
const sockets = new Set<Socket>();

subscribe("net.client.socket", (message) => {
  const { socket } = message as { socket: Socket };
  sockets.add(socket);
  socket.once("close", () => {
    sockets.delete(socket);
    closedBytes += socket.bytesRead + socket.bytesWritten;
  });
});

const ipc = createIpc(process as unknown as IpcPort, {
  start,
  totals,
  watch,
  kill,
  restart,
  raise: ({ id }: { id: string }) => hosts.get(id)!.incrementRevision(),
  incarnations: () =>
    Object.fromEntries([...hosts.values()].map(({ id, membership }) => [
      id,
      membership.self().incarnation,
    ])),
});

const hostList: HostListClient = {
  list: () => ipc.call<ListedHost[]>("list"),
  register: (host) => ipc.call("register", host),
  remove: (id) => ipc.call("remove", { id }),
};

async function startHost(id: string, address?: string) {
  const { tls, topology } = settings;
  hosts.set(id, await startControlHost({ id, address, tls, topology, hostList, random }));
}

async function start(given: WorkerSettings) {
  settings = given;
  const rng = xoroshiro128plus(given.seed);
  random = () => uniformFloat64(rng);
  globalThis.gc?.();
  const heapBytes = process.memoryUsage().heapUsed;
  await Promise.all(given.ids.map((id) => startHost(id)));
  return heapBytes;
}

function totals(): WorkerTotals {
  globalThis.gc?.();
  const { user, system } = process.cpuUsage();
  const { heapUsed, rss } = process.memoryUsage();
  const counters = [...hosts.values()].map(({ metrics }) => metrics.counters());
  let socketBytes = closedBytes;
  for (const socket of sockets) socketBytes += socket.bytesRead + socket.bytesWritten;
  return {
    countedBytes: [...hosts.values()].reduce((sum, host) => sum + host.countedBytes(), killedBytes),
    socketBytes,
    openSockets: sockets.size,
    cpuMs: (user + system) / 1_000,
    heapBytes: heapUsed,
    rssBytes: rss,
    falseDeaths: counters.reduce(
      (sum, counter) => sum + (counter["membership_state_change{to=dead}"] ?? 0),
      0,
    ),
    maxStallMs: loopDelay.max / 1e6,
  };
}

function isMet(host: ControlHost, condition: WatchCondition): boolean {
  const { membership } = host;
  const stateOf = (id: string) => membership.find(id)?.state;
  if (condition.dead && stateOf(condition.dead) !== "dead") return false;
  if (condition.revision && host.revision() < condition.revision) return false;
  if (condition.alive?.some((id) => stateOf(id) !== "alive")) return false;
  return Object.entries(condition.newerThan ?? {}).every(([id, incarnation]) =>
    (membership.find(id)?.incarnation ?? "") > incarnation
  );
}

/**
 * Waits until each host meets the condition or the time is up.
 *
 * @returns for each host, the wall-clock time at which it met the condition, or `null`
 */
async function watch(condition: WatchCondition): Promise<(number | null)[]> {
  const endMs = Date.now() + condition.timeoutMs;
  const metAt = new Map<string, number>();
  while (Date.now() < endMs) {
    for (const [id, host] of hosts) {
      if (!metAt.has(id) && isMet(host, condition)) metAt.set(id, Date.now());
    }
    if (metAt.size === hosts.size) break;
    await sleep(POLL_MS);
  }
  return [...hosts.keys()].map((id) => metAt.get(id) ?? null);
}

async function kill({ ids }: { ids: string[] }) {
  const chosen = ids.flatMap((id) => hosts.get(id) ?? []);
  await Promise.all(chosen.map(async (host) => {
    hosts.delete(host.id);
    await host.kill();
    killedBytes += host.countedBytes();
  }));
}

async function restart({ ids }: { ids: string[] }) {
  const chosen = ids.flatMap((id) => hosts.get(id) ?? []);
  await kill({ ids });
  await Promise.all(chosen.map(({ id, address }) => startHost(id, address)));
}

process.on("disconnect", () => process.exit());
