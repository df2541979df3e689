import { ESSENTIAL } from "@jaypass/kernel";
import type { Clock, Logger, Millis } from "@jaypass/kernel";
import { SERVER_STATE, STORE_RECOVERY_GRACE_MS, TABLE } from "@jaypass/fleet";
import type { Row, ServerEntry, Table } from "@jaypass/fleet";
import { indexConfiguration } from "@jaypass/forwarding";
import type { Configuration, ForwardingServer } from "@jaypass/forwarding";
import type { PlacementServer } from "@jaypass/placement";
import type { OperatorEntry } from "./types.ts";

/** Options of {@linkcode createClusterView}. */
export interface ClusterViewOptions {
  /** Monotonic time source. */
  clock: Clock;
  /** Log of changes. */
  log: Logger;
  /** Time since the store recovered from an outage; Infinity if there was none. */
  storeRecoveredAgoMs: () => Millis;
  /** Reports whether a host of this system listens at an address. */
  isHostAddress: (address: string) => boolean;
  /** Called after the configuration or the usable servers may have changed. */
  onChange: () => void;
}

/** A host's current knowledge of the configuration, data centres and servers. */
export interface ClusterView {
  /** Applies changed rows of a table, whose content has been checked. */
  apply(table: Table, changed: readonly Row[]): void;
  /** Current configuration; undefined while none is known. */
  configuration(): Configuration | undefined;
  /** Servers that may get new requests. */
  usableServers(): PlacementServer[];
  /** Finds a server that may get new requests. */
  findServer(id: string): ForwardingServer | undefined;
  /** Finds the start time of a server, usable or not; undefined if it is gone. */
  findBornMs(id: string): number | undefined;
  /** Finds the id of the server at an address. */
  findServerAt(address: string): string | undefined;
  /**
   * Removes servers whose row is still missing at the end of the grace period after a store outage.
   */
  removeMissingServers(): void;
}

interface KnownServer {
  entry: ServerEntry;
  coldUntilMs: Millis;
  /** True if the row was missing right after a store outage and has not returned. */
  isRowMissing: boolean;
}

/**
 * Creates a host's view of the configuration, data centres and servers, which it builds from rows
 * of the store.
 *
 * A configuration replaces only an older one. A server whose row is missing right after a store
 * outage is kept for a grace period, since servers rewrite their rows at that time.
 *
 * @param options clock, log and state of the store
 * @returns an empty view
 *
 * @example
 * const view = createClusterView({ clock, log, storeRecoveredAgoMs, onChange });
 */
export function createClusterView(options: ClusterViewOptions): ClusterView {
  const { clock, log } = options;
  const evacuated = new Map<string, string>();
  const servers = new Map<string, KnownServer>();
  let configuration: Configuration | undefined;

  const applyOperatorRow = (row: Row) => {
    if (row.value === undefined) {
      const dataCentre = evacuated.get(row.key);
      if (dataCentre !== undefined) {
        log.info({ dataCentre, [ESSENTIAL]: true }, "Data centre evacuation ended");
      }
      evacuated.delete(row.key);
      return;
    }
    const entry = JSON.parse(row.value) as OperatorEntry;
    if (entry.kind === "evacuation") {
      evacuated.set(row.key, entry.dataCentre);
      log.info({ dataCentre: entry.dataCentre, [ESSENTIAL]: true }, "Data centre evacuated");
    } else if (entry.document.version > (configuration?.version ?? -Infinity)) {
      configuration = indexConfiguration(entry.document);
      log.info({ version: configuration.version, [ESSENTIAL]: true }, "Configuration applied");
    }
  };

  const applyServerRow = (row: Row) => {
    const known = servers.get(row.key);
    if (row.value !== undefined) {
      const entry = JSON.parse(row.value) as ServerEntry;
      const coldUntilMs = clock.nowMs() + entry.coldLeftMs;
      if (known?.entry.state !== entry.state || known.entry.bornMs !== entry.bornMs) {
        log.info(
          { server: entry.id, service: entry.service, state: entry.state },
          "Server entry changed",
        );
      }
      servers.set(row.key, { entry, coldUntilMs, isRowMissing: false });
      return;
    }
    if (known === undefined) return;
    // A row that cannot be used has not expired, so that its server does not write it back.
    const isLapse = row.problem === undefined &&
      options.storeRecoveredAgoMs() < STORE_RECOVERY_GRACE_MS;
    log.info({ server: row.key, isLapse }, "Server entry removed");
    if (isLapse) known.isRowMissing = true;
    else servers.delete(row.key);
  };

  // A request for the address of a host would pass from host to host until its deadline.
  const isUsable = ({ entry }: KnownServer) =>
    entry.state === SERVER_STATE.READY && ![...evacuated.values()].includes(entry.dataCentre) &&
    !options.isHostAddress(entry.address);

  return {
    apply(table, changed) {
      for (const row of changed) {
        if (table === TABLE.OPERATORS) applyOperatorRow(row);
        else if (table === TABLE.SERVERS) applyServerRow(row);
      }
      options.onChange();
    },
    configuration: () => configuration,
    usableServers: () =>
      [...servers.values()].filter(isUsable).map(({ entry, coldUntilMs }) => ({
        id: entry.id,
        service: entry.service,
        address: entry.address,
        dataCentre: entry.dataCentre,
        slots: entry.slots,
        coldUntilMs,
        bornMs: entry.bornMs,
      })),
    findServer(id) {
      const known = servers.get(id);
      return known !== undefined && isUsable(known) ? known.entry : undefined;
    },
    findBornMs: (id) => servers.get(id)?.entry.bornMs,
    findServerAt: (address) =>
      [...servers.values()].find(({ entry }) => entry.address === address)?.entry.id,
    removeMissingServers() {
      let hasChanged = false;
      // The grace period starts when the store recovers, whenever the row went missing.
      if (options.storeRecoveredAgoMs() < STORE_RECOVERY_GRACE_MS) return;
      for (const [id, { isRowMissing }] of servers) {
        if (!isRowMissing) continue;
        log.info({ server: id }, "Server removed: its row did not return after the store outage");
        servers.delete(id);
        hasChanged = true;
      }
      if (hasChanged) options.onChange();
    },
  };
}
