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

/** Summary, wanted records, and one more round for a peer that restarted in between. */
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
  /** Called when a peer was silent for too long; probes it and decides. */
  onSilence: (id: string, signal: AbortSignal) => Promise<void>;
}

/** The kept connections of this host, with one task each. */
export interface Links {
  /** Starts and ends tasks so that there is one for each of these hosts. */
  setPeers(ids: readonly string[]): void;
  /** Sends news to all peers; with `force` also when there is none. */
  push(force: boolean): void;
  /** Exchanges views once with the host at an address. */
  exchangeOnce(address: string, expectedId: string, signal?: AbortSignal): Promise<void>;
  /** Sends the last news to all peers and ends the tasks. */
  finish(timeoutMs: number): Promise<void>;
}

interface Link {
  id: string;
  state: LinkState;
  waker: Waker;
  controller: AbortController;
  isForced: boolean;
  startMs: number;
  pushDelayMs: number;
  pushedMs: number;
}

/** Creates the set of kept connections, empty at first. */
export function createLinks(options: LinksOptions): Links {
  const { exchange, view, peers, clock, sleep, random, metrics, onSilence } = options;
  let isFinished = false;
  const links = new Map<string, Link>();

  const beat = async (
    state: LinkState,
    id: string,
    address: string,
    signal?: AbortSignal,
    timeoutMs = HEARTBEAT_TIMEOUT_MS,
  ) => {
    for (let round = 0; round < MAX_ROUNDS; round++) {
      const req = exchange.buildRequest(state, id);
      const res = await peers.call(address, HEARTBEAT, req, { timeoutMs, signal });
      if (res.id !== id) throw new Error(`Host "${res.id}" answers at the address of "${id}"`);
      exchange.applyResponse(state, req, res);
      if (state.isSynced && state.pendingRecords.length === 0) return;
    }
  };

  const step = async (link: Link, signal: AbortSignal): Promise<number> => {
    const address = view.get(link.id)?.record.peerAddress;
    if (address === undefined) return HEARTBEAT_RETRY_MS;
    try {
      await beat(link.state, link.id, address, signal);
      return HEARTBEAT_MS * (0.9 + 0.2 * random());
    } catch (err) {
      if (signal.aborted) throw new AbortedError("Link closed", { cause: err });
      metrics.increment("membership_heartbeat_failed");
    }
    const heardMs = view.get(link.id)?.lastHeardMs ?? -Infinity;
    const silenceMs = clock.nowMs() - Math.max(link.startMs, heardMs);
    if (silenceMs >= SUSPECT_AFTER_MS) await onSilence(link.id, signal);
    return HEARTBEAT_RETRY_MS;
  };

  const pushDelayOf = (link: Link) => {
    const isBusy = clock.nowMs() - link.pushedMs < HEARTBEAT_MS;
    link.pushDelayMs = isBusy ? Math.min(2 * link.pushDelayMs, PUSH_DELAY_MAX_MS) : PUSH_DELAY_MS;
    return link.pushDelayMs;
  };

  const runLink = async (link: Link) => {
    const { signal } = link.controller;
    try {
      while (true) {
        let waitMs = await step(link, signal);
        const dueMs = clock.nowMs() + waitMs;
        // A push to a peer that knows everything already would only answer its own push.
        while (waitMs > 0 && await link.waker.wait(waitMs, signal)) {
          await sleep(pushDelayOf(link), signal);
          if (link.isForced || exchange.hasChanges(link.state, link.id)) {
            link.pushedMs = clock.nowMs();
            break;
          }
          waitMs = dueMs - clock.nowMs();
        }
        link.isForced = false;
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
      isForced: false,
      startMs: clock.nowMs(),
      pushDelayMs: PUSH_DELAY_MS,
      pushedMs: -Infinity,
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
      // A tick during the stop must not start tasks that nobody ends.
      if (isFinished) return;
      for (const link of [...links.values()]) if (!ids.includes(link.id)) stop(link);
      for (const id of ids) if (!links.has(id)) start(id);
    },

    push(force) {
      for (const link of links.values()) {
        link.isForced ||= force;
        link.waker.wake();
      }
    },

    exchangeOnce: (address, expectedId, signal) =>
      beat(exchange.createLinkState(), expectedId, address, signal),

    async finish(timeoutMs) {
      isFinished = true;
      const last = [...links.values()];
      last.forEach(stop);
      await Promise.allSettled(
        last.map(({ id, state }) =>
          beat({ ...state }, id, view.get(id)?.record.peerAddress ?? "", undefined, timeoutMs)
        ),
      );
    },
  };
}
