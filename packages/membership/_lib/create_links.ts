import {
  HEARTBEAT_MS,
  HEARTBEAT_RETRY_MS,
  HEARTBEAT_TIMEOUT_MS,
  PUSH_DELAY_MAX_MS,
  PUSH_DELAY_MS,
  SUSPECT_AFTER_MS,
} from "../constants.ts";
import { AbortedError, type Clock, type Metrics, type RandomSource } from "@jaypass/kernel";
import { createWaker, type Sleep, type Waker } from "./create_waker.ts";
import type { Exchange, LinkState } from "./create_exchange.ts";
import { HEARTBEAT } from "./messages.ts";
import type { PeerPool } from "@jaypass/peers";
import type { View } from "./create_view.ts";

/**
 * Most requests of one exchange: the summary, the records that the peer asked for, and one more
 * when the peer restarted in between.
 */
const MAX_ROUNDS = 3;

/** Options of {@linkcode createLinks}. */
export interface LinksOptions {
  exchange: Exchange;
  view: View;
  peers: PeerPool;
  clock: Clock;
  sleep: Sleep;
  random: RandomSource;
  metrics: Metrics;
  /** Runs a task that is awaited when the membership stops. */
  run: (name: string, task: () => Promise<void>) => void;
  /** Called when a peer has been silent for too long; probes it and may mark it as suspect. */
  onSilence: (id: string, signal: AbortSignal) => Promise<void>;
}

/** Heartbeat links from this host to its peers, with one task each. */
export interface Links {
  /** Starts and ends links so that there is one for each of these hosts. */
  setPeers(ids: readonly string[]): void;
  /** Sends pending changes to all peers; with `force`, a heartbeat is sent even without changes. */
  push(force: boolean): void;
  /** Exchanges views once with the host at an address, without keeping a link. */
  exchangeOnce(address: string, expectedId: string, signal?: AbortSignal): Promise<void>;
  /** Ends the links and sends the last changes to all peers. */
  finish(timeoutMs: number): Promise<void>;
}

interface Link {
  id: string;
  state: LinkState;
  waker: Waker;
  controller: AbortController;
  /** Whether the next push is sent even without changes. */
  isPushForced: boolean;
  startMs: number;
  pushDelayMs: number;
  lastPushMs: number;
}

/** Creates the set of heartbeat links, which is empty at first. */
export function createLinks(options: LinksOptions): Links {
  const { exchange, view, peers, clock, sleep, random, metrics, onSilence } = options;
  let isFinished = false;
  const links = new Map<string, Link>();

  const exchangeWith = async (
    state: LinkState,
    id: string,
    address: string,
    signal?: AbortSignal,
    timeoutMs = HEARTBEAT_TIMEOUT_MS,
  ) => {
    for (let round = 0; round < MAX_ROUNDS; round++) {
      const req = exchange.buildRequest(state, id);
      const res = await peers.call(address, HEARTBEAT, req, { timeoutMs, signal });
      if (res.id !== id) {
        throw new Error(
          `Heartbeat to host "${id}" was answered by host "${res.id}" at "${address}"`,
        );
      }
      exchange.applyResponse(state, req, res);
      if (state.isSynced && state.pendingRecords.length === 0) return;
    }
  };

  const sendHeartbeat = async (link: Link, signal: AbortSignal): Promise<number> => {
    const address = view.get(link.id)?.record.peerAddress;
    if (address === undefined) return HEARTBEAT_RETRY_MS;
    try {
      await exchangeWith(link.state, link.id, address, signal);
      return HEARTBEAT_MS * (0.9 + 0.2 * random());
    } catch (err) {
      if (signal.aborted) throw new AbortedError("Heartbeat link closed", { cause: err });
      metrics.increment("membership_heartbeat_failed");
    }
    const heardMs = view.get(link.id)?.lastHeardMs ?? -Infinity;
    const silenceMs = clock.nowMs() - Math.max(link.startMs, heardMs);
    if (silenceMs >= SUSPECT_AFTER_MS) await onSilence(link.id, signal);
    return HEARTBEAT_RETRY_MS;
  };

  const nextPushDelayMs = (link: Link) => {
    const hasPushedRecently = clock.nowMs() - link.lastPushMs < HEARTBEAT_MS;
    link.pushDelayMs = hasPushedRecently
      ? Math.min(2 * link.pushDelayMs, PUSH_DELAY_MAX_MS)
      : PUSH_DELAY_MS;
    return link.pushDelayMs;
  };

  const runLink = async (link: Link) => {
    const { signal } = link.controller;
    try {
      while (true) {
        let waitMs = await sendHeartbeat(link, signal);
        const dueMs = clock.nowMs() + waitMs;
        // A push to a peer that has all changes already would only echo what it sent.
        while (waitMs > 0 && await link.waker.wait(waitMs, signal)) {
          await sleep(nextPushDelayMs(link), signal);
          if (link.isPushForced || exchange.hasChanges(link.state, link.id)) {
            link.lastPushMs = clock.nowMs();
            break;
          }
          waitMs = dueMs - clock.nowMs();
        }
        link.isPushForced = false;
      }
    } catch (err) {
      if (!signal.aborted) throw err;
    }
  };

  const start = (id: string) => {
    const link: Link = {
      id,
      state: exchange.createLinkState(),
      waker: createWaker(sleep),
      controller: new AbortController(),
      isPushForced: false,
      startMs: clock.nowMs(),
      pushDelayMs: PUSH_DELAY_MS,
      lastPushMs: -Infinity,
    };
    links.set(id, link);
    options.run(`heartbeat ${id}`, () => runLink(link));
  };

  const stop = (link: Link) => {
    links.delete(link.id);
    link.controller.abort();
  };

  return {
    setPeers(ids) {
      // A tick during the stop must not start links, because nothing would end them.
      if (isFinished) return;
      for (const link of [...links.values()]) if (!ids.includes(link.id)) stop(link);
      for (const id of ids) if (!links.has(id)) start(id);
    },

    push(force) {
      for (const link of links.values()) {
        link.isPushForced ||= force;
        link.waker.wake();
      }
    },

    exchangeOnce: (address, expectedId, signal) =>
      exchangeWith(exchange.createLinkState(), expectedId, address, signal),

    async finish(timeoutMs) {
      isFinished = true;
      const last = [...links.values()];
      last.forEach(stop);
      await Promise.allSettled(
        last.map(({ id, state }) =>
          exchangeWith(
            { ...state },
            id,
            view.get(id)?.record.peerAddress ?? "",
            undefined,
            timeoutMs,
          )
        ),
      );
    },
  };
}
