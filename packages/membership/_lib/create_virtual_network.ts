import { AbortedError, type Logger, type Metrics, type RandomSource } from "@jaypass/kernel";
import { createMembership, type MembershipService } from "../create_membership.ts";
import type { HostListClient, ListedHost } from "@jaypass/store_clients";
import { PEER_FAILURE, PeerError, type PeerMethod, PeerRefusal } from "@jaypass/peers";
import type { PeerPool, PeerServer } from "@jaypass/peers";
import type { Sleep } from "./create_waker.ts";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A process of the virtual network. */
export interface VirtualHost {
  id: string;
  address: string;
  membership: MembershipService;
  metrics: Record<string, number>;
}

interface Process extends VirtualHost {
  handlers: Map<string, (req: unknown, context: unknown) => Promise<unknown>>;
  isRunning: boolean;
  isPaused: boolean;
}

interface Timer {
  atMs: number;
  owner: Process | undefined;
  fire: () => void;
}

/** Options of {@linkcode createVirtualNetwork}. */
export interface VirtualNetworkOptions {
  seed: number;
  /** Age of the host list that readers see. */
  listLagMs?: number;
}

const log: Logger = { debug() {}, info() {}, warn() {}, error() {}, child: () => log };
const LATENCY_MS = 1;
const failure = (reason: PeerError["reason"]) =>
  new PeerError(`Virtual call failed: "${reason}"`, { ran: "unknown", reason });

/**
 * Creates memberships on virtual time and a virtual network, for tests only. No timer of the
 * process is used, so that a slow machine gives the same result.
 */
export function createVirtualNetwork(options: VirtualNetworkOptions) {
  const rng = xoroshiro128plus(options.seed);
  const random: RandomSource = () => uniformFloat64(rng);
  const processes = new Map<string, Process>();
  const timers = new Set<Timer>();
  const listLog: { atMs: number; hosts: ListedHost[] }[] = [{ atMs: -Infinity, hosts: [] }];
  const state = { nowMs: 0, isListDown: false, messages: 0 };
  let isBlocked: (from: string, to: string) => boolean = () => false;

  const clock = { nowMs: () => state.nowMs, wallMs: () => state.nowMs };

  const sleepOf = (owner: Process | undefined): Sleep => (durationMs, signal) =>
    new Promise((resolve, reject) => {
      const onAbort = () => {
        timers.delete(timer);
        reject(new AbortedError("Wait aborted"));
      };
      const timer: Timer = {
        atMs: state.nowMs + Math.max(0, durationMs),
        owner,
        fire() {
          signal?.removeEventListener("abort", onAbort);
          resolve();
        },
      };
      if (signal?.aborted) return reject(new AbortedError("Wait aborted"));
      signal?.addEventListener("abort", onAbort, { once: true });
      timers.add(timer);
    });
  const sleep = sleepOf(undefined);

  /** Delivers a request and its answer; the caller's timeout is applied around it. */
  const deliver = async (
    from: Process,
    address: string,
    method: PeerMethod<unknown, unknown>,
    req: unknown,
    signal: AbortSignal,
  ) => {
    const silence = () => sleep(1e9, signal);
    state.messages++;
    await sleep(LATENCY_MS, signal);
    const target = processes.get(address);
    if (isBlocked(from.id, target?.id ?? "")) await silence();
    if (!target?.isRunning) throw failure(PEER_FAILURE.CONNECT_FAILED);
    while (target.isPaused) await sleep(LATENCY_MS * 100, signal);
    const handler = target.handlers.get(method.path);
    if (handler === undefined) throw failure(PEER_FAILURE.UNIMPLEMENTED);
    const res = await handler(method.req.parse(req), { signal, remainingMs: 0 });
    while (target.isPaused) await sleep(LATENCY_MS * 100, signal);
    await sleep(LATENCY_MS, signal);
    if (isBlocked(target.id, from.id)) await silence();
    if (!target.isRunning) throw failure(PEER_FAILURE.CONNECTION_LOST);
    return method.res.parse(res);
  };

  const poolOf = (from: Process): PeerPool => ({
    async call(address, method, req, { timeoutMs, signal }) {
      const controller = new AbortController();
      const abort = () => controller.abort();
      signal?.addEventListener("abort", abort, { once: true });
      if (signal?.aborted) abort();
      const timeout = sleep(timeoutMs, controller.signal).then(abort, () => {});
      try {
        const anyMethod = method as PeerMethod<unknown, unknown>;
        return await deliver(from, address, anyMethod, req, controller.signal) as never;
      } catch (err) {
        if (err instanceof PeerError || err instanceof PeerRefusal) throw err;
        throw failure(PEER_FAILURE.TIMEOUT);
      } finally {
        abort();
        signal?.removeEventListener("abort", abort);
        await timeout;
      }
    },
    stream: () => {
      throw new Error("The virtual network has no streams");
    },
    traffic: () => ({}),
    close: () => Promise.resolve(),
  });

  const checkList = () => {
    if (state.isListDown) return Promise.reject(new Error("Host list down"));
    return Promise.resolve();
  };
  const writeList = async (change: (hosts: ListedHost[]) => ListedHost[]) => {
    await checkList();
    listLog.push({ atMs: state.nowMs, hosts: change(listLog.at(-1)!.hosts) });
  };
  const hostList: HostListClient = {
    async list() {
      await checkList();
      return listLog.findLast(({ atMs }) => atMs <= state.nowMs - (options.listLagMs ?? 0))!.hosts;
    },
    register: (host) => writeList((hosts) => [...hosts.filter(({ id }) => id !== host.id), host]),
    remove: (id) => writeList((hosts) => hosts.filter((host) => host.id !== id)),
  };

  return {
    clock,
    sleep,
    state,
    hosts: (): VirtualHost[] => [...processes.values()].filter(({ isRunning }) => isRunning),
    /** Drops messages between hosts, by sender and receiver. */
    block(rule: (from: string, to: string) => boolean) {
      isBlocked = rule;
    },
    /** Starts a process; one that ran at the address before is gone. */
    start(id: string): VirtualHost {
      const address = `10.0.0.1:${id}`;
      const counters: Record<string, number> = {};
      const metrics: Metrics = {
        increment: (name, _tags, value = 1) =>
          void (counters[name] = (counters[name] ?? 0) + value),
        gauge() {},
        timing() {},
        counters: () => counters,
        close: () => Promise.resolve(),
      };
      const handlers: Process["handlers"] = new Map();
      const server = {
        handle: (method: { path: string }, handler: never) =>
          void handlers.set(method.path, handler),
      } as unknown as PeerServer;
      const created = { id, address, metrics: counters, handlers, isRunning: true } as Process;
      created.isPaused = false;
      created.membership = createMembership({
        self: {
          id,
          incarnation: String(state.nowMs).padStart(9, "0"),
          dataCentre: "gent",
          peerAddress: address,
          callerUrl: `http://${address}`,
        },
        hostList,
        peers: poolOf(created),
        server,
        clock,
        random,
        log,
        metrics,
        sleep: sleepOf(created),
      });
      processes.set(address, created);
      void created.membership.start();
      return created;
    },
    /** Ends a process without a word. */
    kill(host: VirtualHost) {
      (host as Process).isRunning = false;
    },
    /** Stops and continues the timers and handlers of a process. */
    pause(host: VirtualHost, isPaused: boolean) {
      (host as Process).isPaused = isPaused;
    },
    /** Lets time pass. */
    async run(durationMs: number) {
      const endMs = state.nowMs + durationMs;
      while (true) {
        await new Promise((resolve) => setImmediate(resolve));
        let nextMs = Infinity;
        const ready = [...timers].filter(({ owner }) => !owner?.isPaused);
        for (const { atMs, owner } of ready) {
          if (owner === undefined || owner.isRunning) nextMs = Math.min(nextMs, atMs);
        }
        if (nextMs > endMs) break;
        state.nowMs = Math.max(state.nowMs, nextMs);
        for (const timer of ready) {
          if (timer.atMs > state.nowMs) continue;
          timers.delete(timer);
          if (timer.owner === undefined || timer.owner.isRunning) timer.fire();
        }
      }
      state.nowMs = endMs;
    },
  };
}
