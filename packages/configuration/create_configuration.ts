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
  /** Document that is stored as revision 1 when the store has none. */
  initialDocument?: ConfigDocument;
}

/** Mean poll interval of a host without a document, which cannot serve requests yet. */
const INITIAL_POLL_INTERVAL_MS = 300;

/** Pause between attempts to reach the revision that a caller of `catchUp` waits for. */
const CATCH_UP_INTERVAL_MS = 100;

/** Largest number of peers asked in turn when the store does not provide a newer revision. */
const MAX_PEERS_PER_ROUND = 2;

/**
 * Creates the configuration of this host and keeps it up to date.
 *
 * Polls the head row and reads the changes that are missing. Newer revisions are also announced by
 * peers through the membership digest `configuration`. The revision never decreases.
 *
 * @param options store clients, peers, membership, clock, randomness, logger and metrics
 * @returns the configuration, whose background tasks run until `stop` is called
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
    onError: (task, err) => log.error({ task, err }, "Configuration background task failed"),
  });
  const { signal } = tasks;

  const initialDocument = options.initialDocument && parseDocument(options.initialDocument);

  const readyWaiters = new Set<() => void>();
  let isPushScheduled = false;
  const replica = createDocumentReplica({
    log,
    metrics,
    onAdvance() {
      for (const resolve of readyWaiters) resolve();
      if (isPushScheduled) return;
      isPushScheduled = true;
      // Changes that are applied together are announced to the peers once.
      queueMicrotask(() => {
        isPushScheduled = false;
        if (!signal.aborted) membership.push();
      });
    },
  });
  const revision = () => replica.current().revision;

  const advanceFrom = async (peer: HostView) => {
    try {
      await advanceFromPeer(replica, peer.peerAddress, { peers, metrics, signal });
    } catch (err) {
      metrics.increment("configuration.peer_failures");
      log.debug({ err, peer: peer.id }, "Could not read configuration changes from peer");
    }
  };

  /** Reads changes from random peers, for when the store does not answer or is behind. */
  const advanceFromPeers = async () => {
    const self = membership.self().id;
    const candidates = membership.hosts().filter(({ id, state }) => id !== self && state !== "dead")
      .map((host) => ({ host, order: random() })).sort((a, b) => a.order - b.order);
    const before = revision();
    for (const { host } of candidates.slice(0, MAX_PEERS_PER_ROUND)) {
      await advanceFrom(host);
      if (revision() > before) return;
    }
  };

  const pollStore = async () => {
    const head = await readHead(table, { metrics, signal });
    if (head === undefined) {
      if (revision() === 0 && initialDocument !== undefined) {
        await storeInitialDocument(replica, initialDocument, { ...options, signal });
      }
      return;
    }
    if (head.revision < revision()) {
      metrics.increment("configuration.stale_heads");
      return;
    }
    const isCurrent = await advanceFromStore(replica, head, {
      table,
      objects,
      metrics,
      log,
      signal,
    });
    if (!isCurrent) await advanceFromPeers();
  };

  const pollStoreOrPeers = async () => {
    try {
      await pollStore();
    } catch (err) {
      if (signal.aborted) throw err;
      metrics.increment("configuration.store_failures");
      log.warn(
        { err, revision: revision() },
        "Could not read configuration from store; asking peers",
      );
      await advanceFromPeers();
    }
    if (revision() === 0) await advanceFromPeers();
  };

  tasks.run("poll", async () => {
    while (!signal.aborted) {
      await pollStoreOrPeers();
      const jitter = 1 + POLL_JITTER_SHARE * (2 * random() - 1);
      await sleep(
        (revision() === 0 ? INITIAL_POLL_INTERVAL_MS : POLL_INTERVAL_MS) * jitter,
        signal,
      );
    }
  });

  // Peers that announce newer revisions are asked one at a time; of the announcements that arrive
  // meanwhile only the one with the highest revision is kept.
  let announced: { remote: number; peer: HostView } | undefined;
  let isFollowingAnnouncements = false;
  const followAnnouncements = async () => {
    isFollowingAnnouncements = true;
    try {
      while (announced !== undefined && announced.remote > revision() && !signal.aborted) {
        const { peer } = announced;
        announced = undefined;
        await advanceFrom(peer);
      }
    } finally {
      isFollowingAnnouncements = false;
    }
  };
  membership.addDigest({
    name: "configuration",
    local: revision,
    onBehind(remote, peer) {
      if (remote <= revision()) return;
      if (announced === undefined || remote >= announced.remote) announced = { remote, peer };
      if (!isFollowingAnnouncements) tasks.run("follow peer", followAnnouncements);
    },
  });
  servePeers(server, replica);

  const catchUp = async (target: number, callerSignal: AbortSignal) => {
    const combinedSignal = AbortSignal.any([callerSignal, signal]);
    while (revision() < target) {
      try {
        const head = { ...replica.current(), revision: target };
        await advanceFromStore(replica, head, {
          table,
          objects,
          metrics,
          log,
          signal: combinedSignal,
        });
      } catch (err) {
        log.debug({ err }, "Could not read configuration changes from store; retrying");
      }
      if (revision() >= target) return;
      await pollStoreOrPeers();
      if (revision() >= target) return;
      try {
        await sleep(CATCH_UP_INTERVAL_MS, combinedSignal);
      } catch (err) {
        throw new ConfigurationError(
          `Configuration revision ${target} was not reached before the call was aborted`,
          { cause: err },
        );
      }
    }
  };

  return {
    revision,
    document: () => replica.current().document,
    snapshot: replica.current,
    onChange: replica.onChange,
    changesAfter: replica.changesAfter,
    applyStoredChange: replica.apply,
    catchUp,
    ready: (callerSignal) =>
      new Promise((resolve, reject) => {
        if (revision() > 0) return resolve();
        const finishWith = (end: () => void) => () => {
          readyWaiters.delete(onReady);
          callerSignal.removeEventListener("abort", onAbort);
          end();
        };
        const onReady = finishWith(resolve);
        const onAbort = finishWith(() =>
          reject(
            new AbortedError("No configuration document was received before the call was aborted", {
              cause: callerSignal.reason,
            }),
          )
        );
        readyWaiters.add(onReady);
        callerSignal.addEventListener("abort", onAbort, { once: true });
        if (callerSignal.aborted) onAbort();
      }),
    stop: tasks.stop,
  };
}
