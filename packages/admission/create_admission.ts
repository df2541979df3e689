import type { Configuration } from "@jaypass/configuration";
import type { Clock, Logger, Metrics, RandomSource } from "@jaypass/kernel";
import { createTaskGroup, sleep } from "@jaypass/kernel";
import type { Membership } from "@jaypass/membership";
import type { PeerPool, PeerServer } from "@jaypass/peers";
import { REPORT_INTERVAL_MS } from "./constants.ts";
import { createCoordinator } from "./create_coordinator.ts";
import type { CoordinatorOptions } from "./create_coordinator.ts";
import { createCoordinatorDirectory } from "./_lib/coordinator_directory.ts";
import { createCoordinatorSet } from "./_lib/coordinator_set.ts";
import type { CreateLease } from "./_lib/coordinator_set.ts";
import { createGrantBook } from "./_lib/grant_book.ts";
import { createGrantClient } from "./_lib/grant_client.ts";
import { handleAdmissionCalls } from "./_lib/handle_admission_calls.ts";
import { listPools } from "./_lib/list_pools.ts";
import { sendReports } from "./_lib/send_reports.ts";
import type { ReportState } from "./_lib/send_reports.ts";
import type { GrantOwner } from "./messages.ts";
import { REPORT } from "./messages.ts";
import type { Admission, Lane } from "./types.ts";

/** Interval at which leases, hosts and pools are compared. */
const UPDATE_INTERVAL_MS = 200;
/** Topic on which a new coordinator asks the hosts for their grants. */
const COORDINATOR_TOPIC = "admission.coordinator";

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
  const waits = new Map<string, number>();
  const onWait = (pool: string, lane: Lane, waitMs: number) =>
    void waits.set(`${pool}/${lane}`, waitMs);

  let pools = listPools(configuration.document());
  const coordinators = createCoordinatorSet({
    membership,
    createLease: options.createLease,
    onLeaseChange: () => queueMicrotask(update),
    createCoordinator: (pool, lease) =>
      createCoordinator(pool.name, {
        ...options,
        lease,
        address: self.peerAddress,
        isQuarantined: () => false,
        onConviction: () => {},
        onSuspects: () => {},
      }),
    onStart: (pool, coordinator) => {
      log.info({ pool: pool.name, fencing: coordinator.fencing }, "Coordinator started");
      membership.broadcast(COORDINATOR_TOPIC, { pool: pool.name, address: self.peerAddress });
    },
  });

  const book = createGrantBook(clock);
  const directory = createCoordinatorDirectory(membership);
  const reports: ReportState = {
    owner,
    book,
    directory,
    marks: new Map(),
    owed: new Map(),
    findPool: (name) => pools.find((pool) => pool.name === name),
    call: (address, report) =>
      peers.call(address, REPORT, report, { timeoutMs: REPORT_INTERVAL_MS, signal: tasks.signal }),
    onWait,
  };
  const client = createGrantClient({
    ...options,
    owner,
    dataCentre: self.dataCentre,
    book,
    directory,
    tasks,
    pools: () => pools,
    waitMs: (pool, lane) => waits.get(`${pool}/${lane}`) ?? 0,
    onWait,
    owe: (pool) => reports.owed.set(pool, 4),
  });

  handleAdmissionCalls(options.server, coordinators);
  configuration.onChange((document) => {
    pools = listPools(document);
    coordinators.configure(pools, document);
  });
  membership.onBroadcast(COORDINATOR_TOPIC, (payload) => {
    const { pool, address } = payload as { pool?: unknown; address?: unknown };
    if (typeof pool !== "string" || typeof address !== "string") return;
    directory.learn(pool, address);
    if (!book.pools().includes(pool)) return;
    tasks.run("report to new coordinator", () => sendReports(reports, [pool]));
  });
  const update = () => {
    if (!tasks.signal.aborted) coordinators.update(pools, configuration.document());
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
    describe: () => [...coordinators.all()].map((coordinator) => coordinator.describe()),
    async stop() {
      metrics.gauge("admission.unconfirmed", book.size);
      await sendReports(reports).catch(() => {});
      await tasks.stop();
      await coordinators.stop();
    },
  };
}
