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

/** Interval at which the leases are updated to match the pools and hosts. */
const UPDATE_INTERVAL_MS = 200;
/** Number of reports sent to a pool after an acquire, so that a grant lost in transit is freed. */
const REPORTS_AFTER_ACQUIRE = 4;
/** Broadcast topic on which a new coordinator asks the hosts to report. */
const COORDINATOR_TOPIC = "admission.coordinator";

const QUOTA_TARGETS = Array.from({ length: QUOTA_SHARDS }, (_, n) => ({ name: `quota/${n}` }));

interface PoolTarget extends CoordinationTarget {
  view: PoolView;
}

/** Options of {@linkcode createAdmission}. */
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
  /** Creates a lease that this host competes for. */
  createLease: CreateLease;
  /** Creates the client by which a coordinator polls a server. */
  createProbe: CoordinatorOptions["createProbe"];
  /** Time in which a new coordinator collects running work; 3 s by default. */
  rebuildMs?: number;
}

/** Admission with its coordinators. */
export interface AdmissionService extends Admission {
  /** Describes the pools that this host coordinates. */
  describe(): Record<string, unknown>[];
  /** Quarantined fingerprints, which operators list and release. */
  quarantine: Pick<Quarantine, "list" | "release">;
  /** Reports a last time, stops all tasks and releases the leases. */
  stop(): Promise<void>;
}

/**
 * Creates the admission service of a host: the client for its router, and the coordinators of the
 * leases that it holds.
 *
 * @param options clients and configuration
 * @returns the service, started
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
  // Each waiting task adds a listener; Node.js warns about more than 10 by default.
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

  const registry = createGrantRegistry(clock);
  const directory = createCoordinatorDirectory(membership);
  const reports: ReportState = {
    owner,
    registry,
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
    registry,
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
    // Sent even without grants, so that the coordinator does not have to wait for this host.
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
      metrics.gauge("admission.unconfirmed", registry.size);
      await sendReports(reports).catch(() => {});
      await tasks.stop();
      await Promise.all([coordinators.stop(), quotas.stop()]);
      await quarantine.stop();
    },
  };
}
