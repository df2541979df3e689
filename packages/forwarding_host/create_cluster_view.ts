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
  /** Milliseconds since the store came back; Infinity without an absence. */
  storeRecoveredAgoMs: () => Millis;
  /** Called after the configuration or the usable servers changed. */
  onChange: () => void;
}

/** What a host believes of configuration, data centres and servers. */
export interface ClusterView {
  /** Takes changed rows. */
  apply(table: Table, changed: readonly Row[]): void;
  /** The configuration in force; undefined while none is known. */
  configuration(): Configuration | undefined;
  /** Servers that may get new requests. */
  usableServers(): PlacementServer[];
  /** Finds a server that may get new requests. */
  findServer(id: string): ForwardingServer | undefined;
  /** Finds the id of the server at an address. */
  findServerAt(address: string): string | undefined;
  /** Drops servers whose grace after a store outage has ended. */
  expireLapsed(): void;
}

interface KnownServer {
  entry: ServerEntry;
  coldUntilMs: Millis;
  /** True while its row is missing after a store outage. */
  isLapsed: boolean;
}

/**
 * Creates a host's view of configuration, data centres and servers, from rows.
 *
 * A configuration only ever replaces an older one. A server whose row is missing right after the
 * store came back is kept for a while, since servers write their rows anew then.
 *
 * @param options clock, log and contact with the store
 * @returns the view, empty
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
      if (dataCentre !== undefined) log.info({ dataCentre }, "Data centre taken back");
      evacuated.delete(row.key);
      return;
    }
    const entry = JSON.parse(row.value) as OperatorEntry;
    if (entry.kind === "evacuation") {
      evacuated.set(row.key, entry.dataCentre);
      log.info({ dataCentre: entry.dataCentre }, "Data centre taken out");
    } else if (entry.document.version > (configuration?.version ?? -Infinity)) {
      configuration = indexConfiguration(entry.document);
      log.info({ version: configuration.version }, "Configuration in force");
    }
  };

  const applyServerRow = (row: Row) => {
    const known = servers.get(row.key);
    if (row.value !== undefined) {
      const entry = JSON.parse(row.value) as ServerEntry;
      const coldUntilMs = clock.nowMs() + entry.coldLeftMs;
      if (known?.entry.state !== entry.state || known.entry.bornMs !== entry.bornMs) {
        log.info({ server: entry.id, service: entry.service, state: entry.state }, "Server entry");
      }
      servers.set(row.key, { entry, coldUntilMs, isLapsed: false });
      return;
    }
    if (known === undefined) return;
    const isLapse = options.storeRecoveredAgoMs() < STORE_RECOVERY_GRACE_MS;
    log.info({ server: row.key, isLapse }, "Server entry removed");
    if (isLapse) known.isLapsed = true;
    else servers.delete(row.key);
  };

  const isUsable = ({ entry }: KnownServer) =>
    entry.state === SERVER_STATE.READY && ![...evacuated.values()].includes(entry.dataCentre);

  return {
    apply(table, changed) {
      if (table === TABLE.HOSTS) return;
      for (const row of changed) {
        if (table === TABLE.OPERATORS) applyOperatorRow(row);
        else applyServerRow(row);
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
    findServerAt: (address) =>
      [...servers.values()].find(({ entry }) => entry.address === address)?.entry.id,
    expireLapsed() {
      let hasChanged = false;
      // The grace counts from the store's return, whenever the row was found to be missing.
      if (options.storeRecoveredAgoMs() < STORE_RECOVERY_GRACE_MS) return;
      for (const [id, { isLapsed }] of servers) {
        if (!isLapsed) continue;
        log.info({ server: id }, "Server did not come back with the store");
        servers.delete(id);
        hasChanged = true;
      }
      if (hasChanged) options.onChange();
    },
  };
}
