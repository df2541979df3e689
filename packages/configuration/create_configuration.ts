import { AbortedError, createTaskGroup, sleep } from "@jaypass/kernel";
import type { Clock, Logger, Metrics, RandomSource } from "@jaypass/kernel";
import type { HostView, Membership } from "@jaypass/membership";
import type { PeerPool, PeerServer } from "@jaypass/peers";
import type { ObjectClient, TableClient } from "@jaypass/store_clients";
import { advanceFromPeer } from "./_lib/advance_from_peer.ts";
import { advanceFromStore } from "./_lib/advance_from_store.ts";
import { createDocumentReplica } from "./_lib/create_document_replica.ts";
import { readHead } from "./_lib/read_head.ts";
import { servePeers } from "./_lib/serve_peers.ts";
import { storeInitialDocument } from "./_lib/store_initial_document.ts";
import { POLL_INTERVAL_MS, POLL_JITTER_SHARE } from "./constants.ts";
import { ConfigurationError } from "./errors.ts";
import { parseDocument } from "./parse_document.ts";
import type { ConfigDocument, ManagedConfiguration } from "./types.ts";

/** Options of {@linkcode createConfiguration}. */
export interface ConfigurationOptions {
  table: TableClient;
  objects: ObjectClient;
  peers: PeerPool;
  server: PeerServer;
  membership: Membership;
  clock: Clock;
  random: RandomSource;
  log: Logger;
  metrics: Metrics;
  /** Checked document that becomes revision 1 when the store holds none. */
  initialDocument?: ConfigDocument;
}

/** Pause of a host without a document, which can serve nothing before it has one. */
const UNREADY_INTERVAL_MS = 300;

/** Pause between attempts to reach a revision that someone waits for. */
const CATCH_UP_INTERVAL_MS = 100;

/** Peers asked in one round when the store gave no answer. */
const PEERS_PER_ROUND = 2;

/**
 * Keeps this host's copy of the configuration document up to date.
 *
 * Polls only the head row, reads the changes that are missing, and learns of newer revisions from
 * peers through the membership digest `configuration`. The revision never goes down.
 *
 * @param options clients, membership, clock and randomness
 * @returns the configuration with its background tasks running; `stop` ends them
 * @throws {ConfigurationError} when the initial document is not valid
 *
 * @example
 * const configuration = createConfiguration({ table, objects, peers, server, membership, clock,
 *   random, log, metrics });
 * await configuration.ready(AbortSignal.timeout(10_000));
 */
export function createConfiguration(options: ConfigurationOptions): ManagedConfiguration {
  const { table, objects, peers, server, membership, random, log, metrics } = options;
  const tasks = createTaskGroup({
    onError: (task, err) => log.error({ task, err }, "Configuration task failed"),
  });
  const { signal } = tasks;

  const initialDocument = options.initialDocument && parseDocument(options.initialDocument);

  const readyWaiters = new Set<() => void>();
  let isPushPlanned = false;
  const holder = createDocumentReplica({
    log,
    metrics,
    onAdvance() {
      for (const resolve of readyWaiters) resolve();
      if (isPushPlanned) return;
      isPushPlanned = true;
      // Several changes of one read are announced together.
      queueMicrotask(() => {
        isPushPlanned = false;
        if (!signal.aborted) membership.push();
      });
    },
  });
  const revision = () => holder.current().revision;

  const askPeer = async (peer: HostView) => {
    try {
      await advanceFromPeer(holder, peer.peerAddress, { peers, metrics, signal });
    } catch (err) {
      metrics.increment("configuration.peer_failures");
      log.debug({ err, peer: peer.id }, "Peer gave no configuration changes");
    }
  };

  /** Asks peers chosen at random; used while the store does not answer or is behind. */
  const askPeers = async () => {
    const self = membership.self().id;
    const candidates = membership.hosts().filter(({ id, state }) => id !== self && state !== "dead")
      .map((host) => ({ host, order: random() })).sort((a, b) => a.order - b.order);
    const before = revision();
    for (const { host } of candidates.slice(0, PEERS_PER_ROUND)) {
      await askPeer(host);
      if (revision() > before) return;
    }
  };

  const poll = async () => {
    const head = await readHead(table, { metrics, signal });
    if (head === undefined) {
      if (revision() === 0 && initialDocument !== undefined) {
        await storeInitialDocument(holder, initialDocument, { ...options, signal });
      }
      return;
    }
    if (head.revision < revision()) {
      metrics.increment("configuration.stale_heads");
      return;
    }
    const reached = await advanceFromStore(holder, head, { table, objects, metrics, log, signal });
    if (!reached) await askPeers();
  };

  const pollOrAsk = async () => {
    try {
      await poll();
    } catch (err) {
      if (signal.aborted) throw err;
      metrics.increment("configuration.store_failures");
      log.warn({ err, revision: revision() }, "Configuration store does not answer");
      await askPeers();
    }
    if (revision() === 0) await askPeers();
  };

  tasks.run("poll", async () => {
    while (!signal.aborted) {
      await pollOrAsk();
      const jitter = 1 + POLL_JITTER_SHARE * (2 * random() - 1);
      await sleep((revision() === 0 ? UNREADY_INTERVAL_MS : POLL_INTERVAL_MS) * jitter, signal);
    }
  });

  // One call at a time: a newer digest that arrives meanwhile is followed after it.
  let behind: { remote: number; peer: HostView } | undefined;
  let isFollowing = false;
  const follow = async () => {
    isFollowing = true;
    try {
      while (behind !== undefined && behind.remote > revision() && !signal.aborted) {
        const { peer } = behind;
        behind = undefined;
        await askPeer(peer);
      }
    } finally {
      isFollowing = false;
    }
  };
  membership.addDigest({
    name: "configuration",
    local: revision,
    onBehind(remote, peer) {
      if (remote <= revision()) return;
      if (behind === undefined || remote >= behind.remote) behind = { remote, peer };
      if (!isFollowing) tasks.run("follow peer", follow);
    },
  });
  servePeers(server, holder);

  const catchUp = async (target: number, limit: AbortSignal) => {
    const either = AbortSignal.any([limit, signal]);
    while (revision() < target) {
      try {
        const head = { ...holder.current(), revision: target };
        await advanceFromStore(holder, head, { table, objects, metrics, log, signal: either });
      } catch (err) {
        log.debug({ err }, "Configuration store does not answer");
      }
      if (revision() >= target) return;
      await pollOrAsk();
      if (revision() >= target) return;
      try {
        await sleep(CATCH_UP_INTERVAL_MS, either);
      } catch (err) {
        throw new ConfigurationError(`Revision ${target} is not reached`, { cause: err });
      }
    }
  };

  return {
    revision,
    document: () => holder.current().document,
    snapshot: holder.current,
    onChange: holder.onChange,
    changesAfter: holder.changesAfter,
    applyStoredChange: holder.apply,
    catchUp,
    ready: (limit) =>
      new Promise((resolve, reject) => {
        if (revision() > 0) return resolve();
        const settle = (end: () => void) => () => {
          readyWaiters.delete(onReady);
          limit.removeEventListener("abort", onAbort);
          end();
        };
        const onReady = settle(resolve);
        const onAbort = settle(() =>
          reject(new AbortedError("No configuration document is known", { cause: limit.reason }))
        );
        readyWaiters.add(onReady);
        limit.addEventListener("abort", onAbort, { once: true });
        if (limit.aborted) onAbort();
      }),
    stop: tasks.stop,
  };
}
