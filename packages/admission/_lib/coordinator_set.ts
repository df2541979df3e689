import { sleep } from "@jaypass/kernel";
import type { Lease } from "@jaypass/leases";
import type { HostView, Membership } from "@jaypass/membership";
import { REBUILD_MS } from "../constants.ts";
import { rankCandidates } from "./rank_candidates.ts";

/** Creates a lease that this host watches, and competes for while `isCandidate` returns true. */
export type CreateLease = (
  name: string,
  options: {
    isCandidate: () => boolean;
    onChange: () => void;
    /**
     * Awaited before the share that an earlier holder has given up is used, because requests that
     * it granted may still be running.
     */
    collectWork: (signal: AbortSignal) => Promise<void>;
  },
) => Lease;

/** A pool or a quota shard, which the holder of its lease coordinates. */
export interface CoordinationTarget {
  /** Name of the lease. */
  name: string;
  /** Data centre whose hosts are preferred. */
  dataCentre?: string;
}

/** A coordinator for one term of its lease, from taking the lease to losing it. */
export interface FencedCoordinator {
  /** Fencing number of the term; a later term needs a new coordinator. */
  readonly fencing: number;
  stop(): Promise<void>;
}

/** Options of {@linkcode createCoordinatorSet}. */
export interface CoordinatorSetOptions<T extends CoordinationTarget, C extends FencedCoordinator> {
  membership: Membership;
  createLease: CreateLease;
  /** Called after a lease has changed; it should cause a call of `update` soon. */
  onLeaseChange: () => void;
  /** Starts the coordinator of a lease that this host holds. */
  start: (target: T, lease: Lease) => C;
}

/** The leases that this host competes for, and the coordinators of those that it holds. */
export interface CoordinatorSet<T extends CoordinationTarget, C extends FencedCoordinator> {
  /** Creates and stops leases and coordinators to match the targets, hosts and lease modes. */
  update(targets: readonly T[]): void;
  find(name: string): C | undefined;
  /** Address of the holder that this host's lease last read from the store. */
  holder(name: string): string | undefined;
  all(): Iterable<C>;
  stop(): Promise<void>;
}

/** Creates an empty set. */
export function createCoordinatorSet<T extends CoordinationTarget, C extends FencedCoordinator>(
  options: CoordinatorSetOptions<T, C>,
): CoordinatorSet<T, C> {
  const leases = new Map<string, Lease>();
  const coordinators = new Map<string, C>();
  const stopping = new Set<Promise<void>>();

  const trackStop = (promise: Promise<void>) => {
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
    trackStop(coordinator.stop());
  };
  const dropLease = (name: string) => {
    dropCoordinator(name);
    const lease = leases.get(name);
    leases.delete(name);
    if (lease !== undefined) trackStop(lease.release());
  };

  return {
    update(targets) {
      const self = options.membership.self();
      const listed = new Set(targets.map(({ name }) => name));
      for (const name of leases.keys()) if (!listed.has(name)) dropLease(name);
      for (const target of targets) {
        const { name } = target;
        let lease = leases.get(name);
        if (lease === undefined) {
          if (!isCandidate(target, self)) continue;
          lease = options.createLease(name, {
            isCandidate: () => isCandidate(target, options.membership.self()),
            onChange: options.onLeaseChange,
            // Within this time each host reports its grants and each server is polled at least
            // once.
            collectWork: (signal) => sleep(REBUILD_MS, signal),
          });
          leases.set(name, lease);
        }
        if (coordinators.get(name)?.fencing !== lease.fencing()) dropCoordinator(name);
        if (lease.mode() === "none") {
          dropCoordinator(name);
          if (!isCandidate(target, self)) dropLease(name);
        } else if (!coordinators.has(name)) {
          coordinators.set(name, options.start(target, lease));
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
