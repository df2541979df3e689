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

/** Finds hosts through the platform's lagging list. */
export interface HostListReader {
  /** Reads the list at a falling rate and keeps the own entry in it. */
  readLoop(signal: AbortSignal): Promise<void>;
  /** Tries to reach hosts that are listed or remembered but not alive. */
  joinLoop(signal: AbortSignal): Promise<void>;
  /** Writes the own entry now. */
  register(): Promise<void>;
  /** Removes the own entry. */
  remove(): Promise<void>;
}

/** Hosts that are tried at once while no other host is known. */
const JOIN_PARALLEL = 3;

/** Creates the reader of the host list. */
export function createHostListReader(options: HostListReaderOptions): HostListReader {
  const { selfId, hostList, view, links, clock, sleep, random, log, metrics } = options;
  let listed: ListedHost[] = [];
  let registeredMs = -Infinity;

  const isReachable = (id: string) => {
    const state = view.get(id)?.record.state;
    return state !== undefined && state !== HOST_STATE.DEAD;
  };
  const isAlone = () =>
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
      log.warn({ err }, "Host list does not take the own entry");
    }
  };

  const read = async (signal: AbortSignal) => {
    try {
      listed = await hostList.list({ timeoutMs: LIST_TIMEOUT_MS, signal });
    } catch (err) {
      if (signal.aborted) return;
      metrics.increment("membership_list_failed", { call: "list" });
      log.debug({ err }, "Host list does not answer");
      return;
    }
    const isListed = listed.some(({ id }) => id === selfId);
    // The list lags, so a missing entry is no reason to write it again at once.
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
        waitMs = isAlone() ? LIST_MIN_INTERVAL_MS : Math.min(2 * waitMs, LIST_MAX_INTERVAL_MS);
        await sleep(waitMs * (0.8 + 0.4 * random()), signal);
      }
    },

    async joinLoop(signal) {
      while (true) {
        const alone = isAlone();
        const left = candidates();
        const chosen = Array.from(
          { length: Math.min(left.length, alone ? JOIN_PARALLEL : 1) },
          () => left.splice(Math.floor(random() * left.length), 1)[0]!,
        );
        await Promise.allSettled(
          chosen.map(({ id, peerAddress }) => links.exchangeOnce(peerAddress, id, signal)),
        );
        const waitMs = isAlone() ? ISOLATED_REJOIN_INTERVAL_MS : REJOIN_INTERVAL_MS;
        await sleep(waitMs * (0.8 + 0.4 * random()), signal);
      }
    },

    async remove() {
      try {
        await hostList.remove(selfId, { timeoutMs: LIST_TIMEOUT_MS });
      } catch (err) {
        metrics.increment("membership_list_failed", { call: "remove" });
        log.warn({ err }, "Host list does not remove the own entry");
      }
    },
  };
}
