import type { ConfigDocument } from "@jaypass/configuration";
import type { Lease } from "@jaypass/leases";
import type { HostView, Membership } from "@jaypass/membership";
import type { Coordinator } from "../create_coordinator.ts";
import type { PoolView } from "./list_pools.ts";
import { rankCandidates } from "./rank_candidates.ts";

/** Starts to watch a lease and to compete for it while `isCandidate` tells so. */
export type CreateLease = (
  name: string,
  options: { isCandidate: () => boolean; onChange: () => void },
) => Lease;

/** What the set of coordinators needs. */
export interface CoordinatorSetOptions {
  membership: Membership;
  createLease: CreateLease;
  /** Asks for an update soon, after a lease changed. */
  onLeaseChange: () => void;
  createCoordinator: (pool: PoolView, lease: Lease) => Coordinator;
  /** Called when this host became the coordinator of a pool. */
  onStart: (pool: PoolView, coordinator: Coordinator) => void;
}

/** The leases that this host wants and the coordinators of those that it holds. */
export interface CoordinatorSet {
  /** Brings leases and coordinators in line with pools, hosts and lease modes. */
  update(pools: readonly PoolView[], document: Readonly<ConfigDocument>): void;
  configure(pools: readonly PoolView[], document: Readonly<ConfigDocument>): void;
  find(pool: string): Coordinator | undefined;
  /** The holder that this host's lease last saw. */
  holder(pool: string): string | undefined;
  all(): Iterable<Coordinator>;
  stop(): Promise<void>;
}

/** Name of a pool's lease. */
export function poolLeaseName(pool: string): string {
  return `pools/${pool}`;
}

/** Creates a set without leases. */
export function createCoordinatorSet(options: CoordinatorSetOptions): CoordinatorSet {
  const leases = new Map<string, Lease>();
  const coordinators = new Map<string, Coordinator>();
  const stopping = new Set<Promise<void>>();

  const later = (promise: Promise<void>) => {
    const tracked = promise.catch(() => {}).finally(() => stopping.delete(tracked));
    stopping.add(tracked);
  };
  const isCandidate = (pool: PoolView, self: HostView) =>
    rankCandidates(pool.name, {
      hosts: options.membership.hosts(),
      dataCentre: pool.dataCentre,
    }).some(({ id }) => id === self.id);

  const dropCoordinator = (name: string) => {
    const coordinator = coordinators.get(name);
    if (coordinator === undefined) return;
    coordinators.delete(name);
    later(coordinator.stop());
  };
  const dropLease = (name: string) => {
    dropCoordinator(name);
    const lease = leases.get(name);
    leases.delete(name);
    if (lease !== undefined) later(lease.release());
  };

  return {
    update(pools, document) {
      const self = options.membership.self();
      const listed = new Set(pools.map(({ name }) => name));
      for (const name of leases.keys()) if (!listed.has(name)) dropLease(name);
      for (const pool of pools) {
        let lease = leases.get(pool.name);
        if (lease === undefined) {
          if (!isCandidate(pool, self)) continue;
          lease = options.createLease(poolLeaseName(pool.name), {
            isCandidate: () => isCandidate(pool, options.membership.self()),
            onChange: options.onLeaseChange,
          });
          leases.set(pool.name, lease);
        }
        const coordinator = coordinators.get(pool.name);
        if (lease.mode() === "none" || coordinator?.fencing !== lease.fencing()) {
          dropCoordinator(pool.name);
        }
        if (lease.mode() === "none") {
          if (!isCandidate(pool, self)) dropLease(pool.name);
        } else if (!coordinators.has(pool.name)) {
          const created = options.createCoordinator(pool, lease);
          coordinators.set(pool.name, created);
          created.configure(pool, document);
          options.onStart(pool, created);
        }
      }
    },
    configure(pools, document) {
      for (const pool of pools) coordinators.get(pool.name)?.configure(pool, document);
    },
    find: (pool) => coordinators.get(pool),
    holder: (pool) => leases.get(pool)?.holder()?.address,
    all: () => coordinators.values(),
    async stop() {
      for (const name of [...leases.keys()]) dropLease(name);
      await Promise.all(stopping);
    },
  };
}
