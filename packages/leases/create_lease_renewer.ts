import { createTaskGroup, sleep } from "@jaypass/kernel";
import type { Clock, Logger, Metrics, Millis, RandomSource } from "@jaypass/kernel";
import type { TableClient } from "@jaypass/store_clients";
import { handleRelinquish } from "./_lib/handle_relinquish.ts";
import { createLeaseRounds } from "./_lib/create_lease_rounds.ts";
import type { ManagedLease } from "./_lib/create_lease_rounds.ts";
import { LEASE_TIMING } from "./constants.ts";
import { LeaseError } from "./errors.ts";
import type { LeaseHolder, LeaseTiming, RelinquishAnswer, RelinquishRequest } from "./types.ts";

/** Options of {@linkcode createLeaseRenewer}. */
export interface LeaseRenewerOptions {
  table: TableClient;
  /** This process. */
  self: LeaseHolder;
  clock: Clock;
  /** Random numbers for the jitter of the intervals. */
  random: RandomSource;
  log: Logger;
  metrics: Metrics;
  /** Shorter times for tests. */
  timing?: LeaseTiming;
}

/** Renews and watches all leases of a process with few requests to the store. */
export interface LeaseRenewer {
  readonly self: LeaseHolder;
  readonly clock: Clock;
  readonly table: TableClient;
  readonly timing: LeaseTiming;
  /** Adds a lease; called by {@linkcode createLease}. */
  add(lease: ManagedLease): void;
  remove(lease: ManagedLease): void;
  /** Handles `Leases.Relinquish` for all leases of the process, also for removed ones. */
  relinquish(request: RelinquishRequest): RelinquishAnswer;
  /** Ends the rounds without releasing the leases. */
  stop(): Promise<void>;
}

/**
 * Creates the renewer that the leases of one process share.
 *
 * All held leases are renewed in one transaction every 3 s, and the others are read in one request
 * every 2 s. The number of requests to the store thus grows with the number of hosts, and not with
 * the number of hosts times leases.
 *
 * @param options store, process, clock and times
 * @returns the renewer, which runs until `stop`
 *
 * @example
 * const renewer = createLeaseRenewer({ table, self, clock, random, log, metrics });
 * const lease = createLease({ ...options, name: "pool/model-a@gent", renewer });
 */
export function createLeaseRenewer(options: LeaseRenewerOptions): LeaseRenewer {
  const { table, self, clock, random, log, metrics, timing = LEASE_TIMING } = options;
  const leases = new Map<string, ManagedLease>();
  const rounds = createLeaseRounds(leases, { table, clock, metrics, timing });
  const tasks = createTaskGroup({
    onError: (task, err) => log.error({ task, err }, "Lease renewer task failed"),
  });

  const jittered = (periodMs: Millis) => periodMs * (0.9 + 0.2 * random());
  const repeat = (name: string, round: (signal: AbortSignal) => Promise<Millis>) =>
    tasks.run(name, async (signal) => {
      while (!signal.aborted) {
        const pauseMs = await round(signal).catch((err) => {
          if (!signal.aborted) log.warn({ err, round: name }, "Lease round failed; retrying");
          return timing.retryMs;
        });
        await sleep(jittered(pauseMs), signal);
      }
    });

  repeat("renew", async (signal) => await rounds.renew(signal) ? timing.renewMs : timing.retryMs);
  repeat("watch", async (signal) => {
    await rounds.watch(signal);
    return timing.watchMs;
  });
  repeat("ask", async (signal) => {
    await rounds.ask(AbortSignal.any([signal, AbortSignal.timeout(timing.askMs)]));
    return timing.askMs;
  });
  repeat("reclaim", async (signal) => {
    await rounds.reclaim(signal);
    return timing.retryMs;
  });

  return {
    self,
    clock,
    table,
    timing,
    add(lease) {
      if (leases.has(lease.name)) {
        throw new LeaseError(`Lease "${lease.name}" already exists in this process`);
      }
      leases.set(lease.name, lease);
    },
    remove(lease) {
      if (leases.get(lease.name) === lease) leases.delete(lease.name);
    },
    relinquish: (request) => handleRelinquish(request, { self, lease: leases.get(request.name) }),
    stop: () => tasks.stop(),
  };
}
