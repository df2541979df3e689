import { setMaxListeners } from "node:events";
import type { Configuration } from "@jaypass/configuration";
import type { Clock, Logger, Metrics, RandomSource } from "@jaypass/kernel";
import { createTaskGroup, sleep } from "@jaypass/kernel";
import type { Membership } from "@jaypass/membership";
import type { PeerPool, PeerServer } from "@jaypass/peers";
import type { TableClient } from "@jaypass/store_clients";
import { QUOTA_SHARDS, REPORT_INTERVAL_MS } from "./constants.ts";
import { createCoordinator } from "./create_coordinator.ts";
import type { CoordinatorOptions } from "./create_coordinator.ts";
import { createQuarantine } from "./create_quarantine.ts";
import type { Quarantine } from "./create_quarantine.ts";
import { createQuotaCoordinator } from "./create_quota_coordinator.ts";
import { createCoordinatorDirectory } from "./_lib/coordinator_directory.ts";
import { createCoordinatorSet } from "./_lib/coordinator_set.ts";
import type { CoordinationTarget, CreateLease } from "./_lib/coordinator_set.ts";
import { createGrantRegistry } from "./_lib/grant_registry.ts";
import { createGrantClient } from "./_lib/grant_client.ts";
import { handleAdmissionCalls } from "./_lib/handle_admission_calls.ts";
import { listPools, poolLeaseName } from "./_lib/list_pools.ts";
import type { PoolView } from "./_lib/list_pools.ts";
import { longestRequestMs } from "./_lib/longest_request_ms.ts";
import { createQuotaClient } from "./_lib/quota_client.ts";
import { sendReports } from "./_lib/send_reports.ts";
import type { ReportState } from "./_lib/send_reports.ts";
import type { GrantOwner } from "./messages.ts";
import { REPORT } from "./messages.ts";
import type { Admission, Lane } from "./types.ts";

/** Interval at which leases, hosts and pools are compared. */
const UPDATE_INTERVAL_MS = 200;
/** Reports sent to a pool after an acquire, also without grants, so that a lost grant is noticed. */
const REPORTS_AFTER_ACQUIRE = 4;
/** Topic on which a new coordinator asks the hosts for their grants. */
const COORDINATOR_TOPIC = "admission.coordinator";

const QUOTA_TARGETS = Array.from({ length: QUOTA_SHARDS }, (_, n) => ({ name: `quota/${n}` }));

interface PoolTarget extends CoordinationTarget {
  view: PoolView;
}

/** What admission needs from the process. */
export interface AdmissionOptions {
  clock: Clock;
  random: RandomSource;
  log: Logger;
  metrics: Metrics;
  configuration: Configuration;
  membership: Membership;
  peers: PeerPool;
  server: PeerServer;
  /** Table service, for quarantine rows. */
  table: TableClient;
  /** Starts to compete for a lease. */
  createLease: CreateLease;
  /** Opens the client by which a coordinator watches a server. */
  createProbe: CoordinatorOptions["createProbe"];
  /** Time in which a new coordinator collects running work; 3 s by default. */
  rebuildMs?: number;
}

/** Admission with its coordinators. */
export interface AdmissionService extends Admission {
  /** Describes the pools that this host coordinates. */
  describe(): Record<string, unknown>[];
  /** Quarantined fingerprints, to be listed and released by operators. */
  quarantine: Pick<Quarantine, "list" | "release">;
  /** Gives up the leases and stops all tasks. */
  stop(): Promise<void>;
}

/**
 * Creates the admission of a host: the client for its router and the coordinators whose leases it
 * holds.
 *
 * @param options clients and views of the process
 * @returns admission, started
 *
 * @example
 * const admission = createAdmission({ clock, configuration, membership, peers, server, ... });
 * const grant = await admission.acquire(req, signal);
 */
export function createAdmission(options: AdmissionOptions): AdmissionService {
  const { clock, configuration, log, membership, metrics, peers } = options;
  const self = membership.self();
  const owner: GrantOwner = {
    host: self.id,
    incarnation: self.incarnation,
    address: self.peerAddress,
  };
  const tasks = createTaskGroup({
    onError: (task, err) => log.error({ task, err }, "Admission task failed"),
  });
  // One listener per wait of each task; the default limit of 10 would log a warning.
  setMaxListeners(0, tasks.signal);
  const waits = new Map<string, number>();
  const onWait = (pool: string, lane: Lane, waitMs: number) =>
    void waits.set(`${pool}/${lane}`, waitMs);

  const quarantine = createQuarantine({
    ...options,
    onSuspects(fingerprints) {
      for (const coordinator of coordinators.all()) {
        for (const fingerprint of fingerprints) {
          coordinator.scheduler.pool.suspects.add(fingerprint);
        }
      }
    },
  });
  let pools = listPools(configuration.document());
  const announce = (name: string) =>
    membership.broadcast(COORDINATOR_TOPIC, { name, address: self.peerAddress });
  const coordinators = createCoordinatorSet({
    membership,
    createLease: (name, lease) => options.createLease(poolLeaseName(name), lease),
    onLeaseChange: () => queueMicrotask(update),
    start: ({ view }: PoolTarget, lease) => {
      const created = createCoordinator(view.name, {
        ...options,
        lease,
        address: self.peerAddress,
        isQuarantined: quarantine.isQuarantined,
        onQuarantine: (fingerprint, server) =>
          quarantine.add(fingerprint, { pool: view.name, server }),
        onSuspects: quarantine.announceSuspects,
        announce: () => announce(view.name),
      });
      created.configure(view, configuration.document());
      log.info({ pool: view.name, fencing: created.fencing }, "Coordinator started");
      return created;
    },
  });
  const quotas = createCoordinatorSet({
    membership,
    createLease: options.createLease,
    onLeaseChange: () => queueMicrotask(update),
    start: ({ name }, lease) =>
      createQuotaCoordinator({
        ...options,
        lease,
        limitOf: (workspace) => configuration.document().workspaces[workspace]?.maxConcurrent ?? 0,
        announce: () => announce(name),
        longestRequestMs: () => longestRequestMs(configuration.document()),
      }),
  });

  const book = createGrantRegistry(clock);
  const directory = createCoordinatorDirectory(membership);
  const reports: ReportState = {
    owner,
    registry: book,
    directory,
    marks: new Map(),
    pendingReports: new Map(),
    findPool: (name) => pools.find((pool) => pool.name === name),
    call: (address, report) =>
      peers.call(address, REPORT, report, { timeoutMs: REPORT_INTERVAL_MS, signal: tasks.signal }),
    onWait,
  };
  const quota = createQuotaClient({ clock, metrics, owner, peers, directory, tasks });
  const client = createGrantClient({
    ...options,
    owner,
    dataCentre: self.dataCentre,
    registry: book,
    quota,
    directory,
    tasks,
    pools: () => pools,
    waitMs: (pool, lane) => waits.get(`${pool}/${lane}`) ?? 0,
    onWait,
    isQuarantined: quarantine.isQuarantined,
    requestReports: (pool) => reports.pendingReports.set(pool, REPORTS_AFTER_ACQUIRE),
  });

  handleAdmissionCalls(options.server, { pools: coordinators, quotas });
  configuration.onChange((document) => {
    pools = listPools(document);
    for (const view of pools) {
      coordinators.find(view.name)?.configure(view, document);
    }
  });
  membership.onBroadcast(COORDINATOR_TOPIC, (payload) => {
    const { name, address } = payload as { name?: unknown; address?: unknown };
    if (typeof name !== "string" || typeof address !== "string") return;
    directory.recordAnnouncement(name, address);
    if (name.startsWith("quota/")) quota.reportHeld(name);
    // Also without grants, so that the coordinator need not wait for this host.
    else tasks.run("report to new coordinator", () => sendReports(reports, [name]));
  });
  const update = () => {
    if (tasks.signal.aborted) return;
    coordinators.update(
      pools.map((view) => ({
        name: view.name,
        dataCentre: view.dataCentre,
        view,
      })),
    );
    quotas.update(QUOTA_TARGETS);
  };
  tasks.run("leases", async (signal) => {
    while (!signal.aborted) {
      update();
      await sleep(UPDATE_INTERVAL_MS, signal);
    }
  });
  tasks.run("reports", async (signal) => {
    while (!signal.aborted) {
      await sleep(REPORT_INTERVAL_MS, signal);
      await sendReports(reports);
    }
  });

  return {
    ...client,
    quarantine,
    describe: () => [...coordinators.all()].map((coordinator) => coordinator.describe()),
    async stop() {
      metrics.gauge("admission.unconfirmed", book.size);
      await sendReports(reports).catch(() => {});
      await tasks.stop();
      await Promise.all([coordinators.stop(), quotas.stop()]);
      await quarantine.stop();
    },
  };
}
