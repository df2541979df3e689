import {
  type Clock,
  createTaskGroup,
  type Logger,
  type Metrics,
  type RandomSource,
  sleep as sleepOnTimer,
} from "@jaypass/kernel";
import { type ChoosePeers, chooseRingPeers } from "./_lib/choose_ring_peers.ts";
import { compareRecords, type HostRecord, toView } from "./_lib/host_record.ts";
import { createExchange } from "./_lib/create_exchange.ts";
import { createHostListReader } from "./_lib/create_host_list_reader.ts";
import { createLinks } from "./_lib/create_links.ts";
import { createGossipState } from "./_lib/create_gossip_state.ts";
import { createProber } from "./_lib/create_prober.ts";
import { createView } from "./_lib/create_view.ts";
import { DEAD_AFTER_MS, PAUSE_THRESHOLD_MS, TICK_MS, TOMBSTONE_TTL_MS } from "./constants.ts";
import { HEARTBEAT, IDENTIFY, PROBE_VIA } from "./_lib/messages.ts";
import { HOST_STATE, type HostState, type HostView, type Membership } from "./types.ts";
import type { HostListClient } from "@jaypass/store_clients";
import { PeerRefusal } from "@jaypass/peers";
import type { PeerPool, PeerServer } from "@jaypass/peers";
import type { Sleep } from "./_lib/create_waker.ts";

/** Options of {@linkcode createMembership}. */
export interface MembershipOptions {
  /** This process, with an incarnation of `createIncarnation`. */
  self: Omit<HostView, "state">;
  hostList: HostListClient;
  peers: PeerPool;
  server: PeerServer;
  clock: Clock;
  random: RandomSource;
  log: Logger;
  metrics: Metrics;
  /** Waits; the timer of the process by default. */
  sleep?: Sleep;
  /** Chooses the hosts to which this one keeps connections; the hash ring by default. */
  choosePeers?: ChoosePeers;
}

/** A membership that can be started and stopped. */
export interface MembershipService extends Membership {
  /** Starts the tasks; hosts are found and found by others from then on. */
  start(): Promise<void>;
  /** Tells the peers that this process ends, removes it from the host list and ends the tasks. */
  stop(): Promise<void>;
}

/** Longest wait for the peers to take the last message. */
const FINISH_TIMEOUT_MS = 1_000;

/**
 * Creates the membership of this host; its handlers are registered with the server at once.
 *
 * @param options own host, host list, connections and behaviour
 * @returns the membership
 *
 * @example
 * const membership = createMembership({ self, hostList, peers, server, ...kernelParts });
 * await membership.start();
 */
export function createMembership(options: MembershipOptions): MembershipService {
  const { hostList, peers, server, clock, random, log, metrics } = options;
  const { sleep = sleepOnTimer, choosePeers = chooseRingPeers } = options;
  const selfId = options.self.id;
  const tasks = createTaskGroup({
    onError: (name, err) => log.error({ name, err }, "Membership task failed"),
  });
  const epoch = 1 + Math.floor(random() * (2 ** 32 - 1));
  let version = 0;
  let chosenRing = -1;
  let isStopped = false;

  const onChange = ({ id, state }: HostRecord, previous: HostState | undefined) => {
    if (state !== previous) {
      metrics.increment("membership_state_change", { to: state });
      if (previous !== undefined) log.info({ host: id, from: previous, to: state }, "Host changed");
    }
    links.push(false);
  };
  const nextVersion = () => ++version;
  const view = createView({
    clock,
    nextVersion,
    onChange: (record, previous) => onChange(record, previous),
  });
  const news = createGossipState({ clock, nextVersion, onChange: () => links.push(false) });

  const declare = (record: HostRecord, changes: Partial<HostRecord>) =>
    view.apply({ ...record, ...changes }, undefined);

  /** Takes another host's record of this one; an untrue one is refuted. */
  const onSelf = (record: HostRecord) => {
    const own = view.get(selfId)!.record;
    if (compareRecords(record, own) <= 0 || isStopped) return;
    if (record.incarnation !== own.incarnation) {
      metrics.increment("membership_incarnation_conflict");
      log.error({ incarnation: record.incarnation }, "A later process uses this host id");
      return;
    }
    metrics.increment("membership_refutation");
    declare(own, { seq: record.seq + 1 });
  };

  const exchange = createExchange({
    selfId,
    epoch,
    view,
    gossip: news,
    clock,
    metrics,
    version: () => version,
    onOwnRecord: onSelf,
  });
  const prober = createProber({ peers, random, metrics });

  const onSilence = async (id: string, signal: AbortSignal) => {
    const entry = view.get(id);
    const { state } = entry?.record ?? {};
    if (entry === undefined || state === HOST_STATE.SUSPECT || state === HOST_STATE.DEAD) return;
    const helpers = [...view.entries()].map(({ record }) => record).filter((record) =>
      record.id !== id && record.id !== selfId &&
      (record.state === HOST_STATE.ALIVE || record.state === HOST_STATE.LEAVING)
    );
    const result = await prober.probeVia(entry.record, helpers, signal);
    const now = view.get(id);
    if (now === undefined || now.record !== entry.record) return;
    if (result === "answered") now.lastHeardMs = clock.nowMs();
    if (result === "silent") declare(now.record, { state: HOST_STATE.SUSPECT });
  };

  const links = createLinks({
    exchange,
    view,
    peers,
    clock,
    sleep,
    random,
    metrics,
    run: (name, task) => tasks.run(name, task),
    onSilence,
  });
  const reader = createHostListReader({
    selfId,
    hostList,
    view,
    links,
    clock,
    sleep,
    random,
    log,
    metrics,
  });

  const ageHosts = (nowMs: number) => {
    for (const { record, sinceMs } of [...view.entries()]) {
      if (record.id === selfId) continue;
      const ageMs = nowMs - sinceMs;
      if (record.state === HOST_STATE.SUSPECT && ageMs >= DEAD_AFTER_MS) {
        declare(record, { state: HOST_STATE.DEAD });
      } else if (record.state === HOST_STATE.DEAD && ageMs >= TOMBSTONE_TTL_MS) {
        view.remove(record.id);
      }
    }
  };

  const updateLinks = () => {
    if (chosenRing === view.ringVersion()) return;
    chosenRing = view.ringVersion();
    const others = [...view.entries()]
      .filter(({ record }) => record.id !== selfId && record.state !== HOST_STATE.DEAD)
      .map(({ record }) => record.id);
    links.setPeers(choosePeers(selfId, others));
  };

  const tickLoop = async (signal: AbortSignal) => {
    let lastMs = clock.nowMs();
    while (true) {
      const nowMs = clock.nowMs();
      const gapMs = nowMs - lastMs;
      lastMs = nowMs;
      if (gapMs > TICK_MS + PAUSE_THRESHOLD_MS) {
        metrics.increment("membership_pause");
        log.warn({ gapMs: Math.round(gapMs) }, "This process was paused");
        // A suspect could not be seen to refute during the pause.
        for (const entry of view.entries()) {
          if (entry.record.state === HOST_STATE.SUSPECT) entry.sinceMs += gapMs;
        }
      }
      ageHosts(nowMs);
      news.prune((id) => view.get(id) !== undefined);
      news.refreshDigests();
      updateLinks();
      await sleep(TICK_MS, signal);
    }
  };

  const checkRunning = () => {
    if (isStopped) throw new PeerRefusal("stopped");
  };
  server.handle(HEARTBEAT, (req) => {
    checkRunning();
    return Promise.resolve(exchange.handleRequest(req));
  });
  server.handle(IDENTIFY, () => {
    checkRunning();
    return Promise.resolve({ host: selfId, incarnation: options.self.incarnation });
  });
  server.handle(PROBE_VIA, async ({ address }) => {
    checkRunning();
    return { answer: await prober.identify(address) };
  });

  /** A fault of a listener must not fail the heartbeat that called it. */
  const guard = <Args extends unknown[]>(name: string, listener: (...args: Args) => void) =>
  (
    ...args: Args
  ) => {
    try {
      listener(...args);
    } catch (err) {
      log.error({ err, name }, "Membership listener failed");
    }
  };

  view.apply({ ...options.self, state: HOST_STATE.ALIVE, seq: 0 }, undefined);

  return {
    self: () => toView(view.get(selfId)!.record),
    hosts: () => [...view.entries()].map(({ record }) => toView(record)),
    find(id) {
      const entry = view.get(id);
      return entry && toView(entry.record);
    },
    leave() {
      const own = view.get(selfId)!.record;
      if (own.state !== HOST_STATE.ALIVE) return;
      declare(own, { state: HOST_STATE.LEAVING, seq: own.seq + 1 });
      tasks.run("register leave", () => reader.register());
    },
    addDigest: (digest) =>
      news.addDigest({
        name: digest.name,
        local: () => digest.local(),
        onBehind: guard(digest.name, (remote, peer) => digest.onBehind(remote, peer)),
      }),
    push() {
      news.refreshDigests();
      links.push(true);
    },
    broadcast(topic, payload) {
      const id = `${epoch.toString(36)}${nextVersion().toString(36)}`;
      news.addBroadcast({ id, topic, payload }, undefined);
    },
    onBroadcast: (topic, handler) => news.onBroadcast(topic, guard(topic, handler)),
    askIncarnation: (peerAddress) => prober.identify(peerAddress),
    start() {
      tasks.run("tick", tickLoop);
      tasks.run("read host list", reader.readLoop);
      tasks.run("join", reader.joinLoop);
      return Promise.resolve();
    },
    async stop() {
      const own = view.get(selfId)!.record;
      isStopped = true;
      declare(own, { state: HOST_STATE.DEAD, seq: own.seq + 1 });
      await Promise.all([links.finish(FINISH_TIMEOUT_MS), reader.remove()]);
      await tasks.stop();
    },
  };
}
