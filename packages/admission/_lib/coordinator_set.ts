import { sleep } from "@jaypass/kernel";
import type { Lease } from "@jaypass/leases";
import type { HostView, Membership } from "@jaypass/membership";
import { REBUILD_MS } from "../constants.ts";
import { rankCandidates } from "./rank_candidates.ts";

/** Starts to watch a lease and to compete for it while `isCandidate` tells so. */
export type CreateLease = (
  name: string,
  options: {
    isCandidate: () => boolean;
    onChange: () => void;
    /** Awaited before an earlier holder's ended share is used, because its work may still run. */
    collectWork: (signal: AbortSignal) => Promise<void>;
  },
) => Lease;

/** What is coordinated: a pool or a shard of quotas. */
export interface CoordinationTarget {
  /** Name of the lease. */
  name: string;
  /** Data centre whose hosts are preferred. */
  dataCentre?: string;
}

/** A coordinator under one holding of its lease. */
export interface FencedCoordinator {
  /** Fencing number under which it was created; a later holding needs a new one. */
  readonly fencing: number;
  stop(): Promise<void>;
}

/** What the set needs. */
export interface CoordinatorSetOptions<T extends CoordinationTarget, C extends FencedCoordinator> {
  membership: Membership;
  createLease: CreateLease;
  /** Asks for an update soon, after a lease changed. */
  onLeaseChange: () => void;
  /** Starts the coordinator of a lease that this host holds. */
  start: (coordinated: T, lease: Lease) => C;
}

/** The leases that this host wants and the coordinators of those that it holds. */
export interface CoordinatorSet<T extends CoordinationTarget, C extends FencedCoordinator> {
  /** Brings leases and coordinators in line with what is to be coordinated, hosts and modes. */
  update(all: readonly T[]): void;
  find(name: string): C | undefined;
  /** Address of the holder that this host's lease last saw. */
  holder(name: string): string | undefined;
  all(): Iterable<C>;
  stop(): Promise<void>;
}

/** Creates a set without leases. */
export function createCoordinatorSet<T extends CoordinationTarget, C extends FencedCoordinator>(
  options: CoordinatorSetOptions<T, C>,
): CoordinatorSet<T, C> {
  const leases = new Map<string, Lease>();
  const coordinators = new Map<string, C>();
  const stopping = new Set<Promise<void>>();

  const later = (promise: Promise<void>) => {
    const tracked = promise.catch(() => {}).finally(() => stopping.delete(tracked));
    stopping.add(tracked);
  };
  const isCandidate = ({ name, dataCentre }: T, self: HostView) =>
    rankCandidates(name, { hosts: options.membership.hosts(), dataCentre })
      .some(({ id }) => id === self.id);
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
    update(all) {
      const self = options.membership.self();
      const listed = new Set(all.map(({ name }) => name));
      for (const name of leases.keys()) if (!listed.has(name)) dropLease(name);
      for (const coordinated of all) {
        const { name } = coordinated;
        let lease = leases.get(name);
        if (lease === undefined) {
          if (!isCandidate(coordinated, self)) continue;
          lease = options.createLease(name, {
            isCandidate: () => isCandidate(coordinated, options.membership.self()),
            onChange: options.onLeaseChange,
            // Reports and lists of running work arrive all the time; in this span each comes once.
            collectWork: (signal) => sleep(REBUILD_MS, signal),
          });
          leases.set(name, lease);
        }
        if (coordinators.get(name)?.fencing !== lease.fencing()) dropCoordinator(name);
        if (lease.mode() === "none") {
          dropCoordinator(name);
          if (!isCandidate(coordinated, self)) dropLease(name);
        } else if (!coordinators.has(name)) {
          coordinators.set(name, options.start(coordinated, lease));
        }
      }
    },
    find: (name) => coordinators.get(name),
    holder: (name) => leases.get(name)?.holder()?.address,
    all: () => coordinators.values(),
    async stop() {
      for (const name of [...leases.keys()]) dropLease(name);
      await Promise.all(stopping);
    },
  };
}
