import { once } from "node:events";
import { createFieldReader, ESSENTIAL, sleepUntilTick } from "@jaypass/kernel";
import type { Clock, Logger, Metrics, TaskGroup } from "@jaypass/kernel";
import { FLEET_TICK_MS } from "@jaypass/fleet";
import type { Gossip, RowStore } from "@jaypass/fleet";
import { createQuarantineList, QUARANTINE_HOLD_MS } from "@jaypass/placement";
import type { CrashVerdict, Quarantine, QuarantineList } from "@jaypass/placement";
import { QUARANTINE_RETRY_MS, QUARANTINE_SYNC_MS } from "./constants.ts";
import { createQuarantineStore } from "./create_quarantine_store.ts";
import { parseQuarantine } from "./parse_quarantine.ts";

/** Options of {@linkcode createClusterQuarantine}. */
export interface ClusterQuarantineOptions {
  /** The store, which keeps the quarantines. */
  store: RowStore;
  /** Sends facts to the other hosts. */
  sendGossip: (items: unknown[]) => void;
  /** True while this host places the requests of other hosts. */
  isHub: () => boolean;
  /** Monotonic time source. */
  clock: Clock;
  /** Log of changes. */
  log: Logger;
  /** Receives counters of changes. */
  metrics: Metrics;
}

/** The quarantines of all hosts, as one of them knows them. */
export interface ClusterQuarantine {
  /** Quarantines of all hosts, for the placer of a hub. */
  shared: QuarantineList;
  /**
   * The same and the verdicts of this host's own placer, which it uses without a hub. That placer
   * knows few of the requests, so that its verdicts are not shared and trials are left to hubs.
   */
  local: QuarantineList;
  /** Exchange of the quarantines with other hosts. */
  gossip: Gossip;
  /** Logs a verdict of a placer. */
  logVerdict(verdict: CrashVerdict): void;
  /** Tells that the hosts are known, and with them whether this host is a hub. */
  onHostsKnown(): void;
  /** Runs the synchronization with the store while this host is a hub, once the hosts are known. */
  run(tasks: TaskGroup): void;
}

/** Kind of the gossip items that are quarantines; others are left to later versions. */
const GOSSIP_KIND = "quarantine";

/**
 * Creates the quarantines of a host, which all hosts share by gossip and hubs keep in the store.
 *
 * @param options store, gossip, clock, log and metrics
 * @returns the quarantines
 *
 * @example
 * const quarantine = createClusterQuarantine({ store, sendGossip, isHub, clock, log, metrics });
 */
export function createClusterQuarantine(options: ClusterQuarantineOptions): ClusterQuarantine {
  const { store, sendGossip, isHub, clock, log, metrics } = options;
  let nextSyncMs = -Infinity;
  let onHostsKnown = () => {};
  const hostsKnown = new Promise<void>((resolve) => onHostsKnown = resolve);

  const onChange = (quarantine: Quarantine) => {
    nextSyncMs = -Infinity;
    const change = describeChange(quarantine);
    metrics.increment("quarantine", { change });
    log.info({ ...quarantine, change, [ESSENTIAL]: true }, "Quarantine of content changed");
    sendGossip([encodeGossip(quarantine)]);
  };
  const shared = createQuarantineList(clock, onChange);
  const own = createQuarantineList(clock);
  const quarantineStore = createQuarantineStore({ store, quarantines: shared, log });

  return {
    shared,
    local: {
      ...own,
      listHeld: () => [...shared.listHeld(), ...own.listHeld()],
      find(keys) {
        const found = shared.find(keys);
        if (found === undefined) return own.find(keys);
        return { ...found, trialInMs: Math.max(found.trialInMs, QUARANTINE_HOLD_MS) };
      },
    },
    gossip: {
      list: () => shared.list().map(encodeGossip),
      receive(items) {
        for (const item of items) {
          if (createFieldReader(item).value("kind") !== GOSSIP_KIND) continue;
          shared.merge(parseQuarantine(item));
        }
      },
    },
    logVerdict: ({ keys, crashCount }) =>
      log.warn(
        { keys, crashCount, [ESSENTIAL]: true },
        "Content crashes servers; its requests are refused",
      ),
    onHostsKnown: () => onHostsKnown(),
    run(tasks) {
      tasks.run("synchronize quarantines", async (signal) => {
        // Until then each host is a hub of its own, and all hosts that start would read the table.
        await Promise.race([hostsKnown, once(signal, "abort")]);
        while (!signal.aborted) {
          if (isHub() && clock.nowMs() >= nextSyncMs) {
            nextSyncMs = clock.nowMs() + QUARANTINE_SYNC_MS;
            const isSynchronized = await quarantineStore.synchronize(signal);
            if (!isSynchronized) nextSyncMs = clock.nowMs() + QUARANTINE_RETRY_MS;
          }
          await sleepUntilTick(FLEET_TICK_MS, { clock, signal });
        }
      });
    },
  };
}

function encodeGossip(quarantine: Quarantine) {
  return { kind: GOSSIP_KIND, ...quarantine };
}

function describeChange({ isReleased, trialCount }: Quarantine): string {
  if (isReleased) return "released";
  return trialCount > 0 ? "tried" : "added";
}
