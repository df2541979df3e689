import {
  ISOLATED_REJOIN_INTERVAL_MS,
  LIST_MAX_INTERVAL_MS,
  LIST_MIN_INTERVAL_MS,
  LIST_TIMEOUT_MS,
  REGISTER_RETRY_MS,
  REJOIN_INTERVAL_MS,
} from "../constants.ts";
import type { Clock, Logger, Metrics, RandomSource } from "@jaypass/kernel";
import type { HostListClient, ListedHost } from "@jaypass/store_clients";
import type { Links } from "./create_links.ts";
import { HOST_STATE } from "../types.ts";
import type { Sleep } from "./create_waker.ts";
import type { View } from "./create_view.ts";

/** Options of {@linkcode createHostListReader}. */
export interface HostListReaderOptions {
  selfId: string;
  hostList: HostListClient;
  view: View;
  links: Links;
  clock: Clock;
  sleep: Sleep;
  random: RandomSource;
  log: Logger;
  metrics: Metrics;
}

/** Finds hosts through the platform's host list, whose entries appear and vanish with a delay. */
export interface HostListReader {
  /** Reads the list at growing intervals and keeps the own entry in it. */
  readLoop(signal: AbortSignal): Promise<void>;
  /**
   * Periodically contacts hosts that are listed, or recorded as dead, and not known as reachable.
   */
  joinLoop(signal: AbortSignal): Promise<void>;
  /** Writes the own entry to the list. */
  register(): Promise<void>;
  /** Removes the own entry from the list. */
  remove(): Promise<void>;
}

/** Hosts contacted at the same time while no other host is reachable. */
const JOIN_CONCURRENCY = 3;

/** Creates the reader of the host list. */
export function createHostListReader(options: HostListReaderOptions): HostListReader {
  const { selfId, hostList, view, links, clock, sleep, random, log, metrics } = options;
  let listed: ListedHost[] = [];
  let registeredMs = -Infinity;

  const isReachable = (id: string) => {
    const state = view.get(id)?.record.state;
    return state !== undefined && state !== HOST_STATE.DEAD;
  };
  const isIsolated = () =>
    ![...view.entries()].some(({ record }) => record.id !== selfId && isReachable(record.id));

  const register = async () => {
    const { id, dataCentre, peerAddress, callerUrl, state } = view.get(selfId)!.record;
    const entry = {
      id,
      dataCentre,
      peerAddress,
      callerUrl,
      state: state === HOST_STATE.LEAVING ? "leaving" as const : "live" as const,
    };
    try {
      await hostList.register(entry, { timeoutMs: LIST_TIMEOUT_MS });
      registeredMs = clock.nowMs();
    } catch (err) {
      metrics.increment("membership_list_failed", { call: "register" });
      log.warn({ err }, "Host list did not accept the entry of this host");
    }
  };

  const read = async (signal: AbortSignal) => {
    try {
      listed = await hostList.list({ timeoutMs: LIST_TIMEOUT_MS, signal });
    } catch (err) {
      if (signal.aborted) return;
      metrics.increment("membership_list_failed", { call: "list" });
      log.debug({ err }, "Host list could not be read; retrying at the next interval");
      return;
    }
    const isListed = listed.some(({ id }) => id === selfId);
    // The list is delayed, so an entry that was written recently may still be missing from it.
    if (!isListed && clock.nowMs() - registeredMs > REGISTER_RETRY_MS) await register();
  };

  const candidates = (): { id: string; peerAddress: string }[] => {
    const dead = [...view.entries()].filter(({ record }) => record.state === HOST_STATE.DEAD);
    const byId = new Map(listed.map(({ id, peerAddress }) => [id, { id, peerAddress }]));
    for (const { record } of dead) byId.set(record.id, record);
    return [...byId.values()].filter(({ id }) => id !== selfId && !isReachable(id));
  };

  return {
    register,

    async readLoop(signal) {
      let waitMs = LIST_MIN_INTERVAL_MS;
      await register();
      while (true) {
        await read(signal);
        waitMs = isIsolated() ? LIST_MIN_INTERVAL_MS : Math.min(2 * waitMs, LIST_MAX_INTERVAL_MS);
        await sleep(waitMs * (0.8 + 0.4 * random()), signal);
      }
    },

    async joinLoop(signal) {
      while (true) {
        const wasIsolated = isIsolated();
        const remaining = candidates();
        const chosen = Array.from(
          { length: Math.min(remaining.length, wasIsolated ? JOIN_CONCURRENCY : 1) },
          () => remaining.splice(Math.floor(random() * remaining.length), 1)[0]!,
        );
        await Promise.allSettled(
          chosen.map(({ id, peerAddress }) => links.exchangeOnce(peerAddress, id, signal)),
        );
        const waitMs = isIsolated() ? ISOLATED_REJOIN_INTERVAL_MS : REJOIN_INTERVAL_MS;
        await sleep(waitMs * (0.8 + 0.4 * random()), signal);
      }
    },

    async remove() {
      try {
        await hostList.remove(selfId, { timeoutMs: LIST_TIMEOUT_MS });
      } catch (err) {
        metrics.increment("membership_list_failed", { call: "remove" });
        log.warn({ err }, "Host list did not remove the entry of this host");
      }
    },
  };
}
