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
  /** Jitter of the periods. */
  random: RandomSource;
  log: Logger;
  metrics: Metrics;
  /** Shorter times for tests. */
  timing?: LeaseTiming;
}

/** Renews and watches all leases of a process with few requests. */
export interface LeaseRenewer {
  readonly self: LeaseHolder;
  readonly clock: Clock;
  readonly table: TableClient;
  readonly timing: LeaseTiming;
  /** Adds a lease; used by {@linkcode createLease}. */
  add(member: ManagedLease): void;
  remove(member: ManagedLease): void;
  /** Handles `Leases.Relinquish` for all leases of the process, known or stopped. */
  relinquish(request: RelinquishRequest): RelinquishAnswer;
  /** Ends the rounds without a release. */
  stop(): Promise<void>;
}

/**
 * Creates the renewer that the leases of one process share.
 *
 * All held leases are renewed in one transaction each 3 s, and all others are read in one request
 * each 2 s, so that the load of the store grows with the hosts and not with hosts times leases.
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
  const members = new Map<string, ManagedLease>();
  const rounds = createLeaseRounds(members, { table, clock, metrics, timing });
  const tasks = createTaskGroup({
    onError: (task, err) => log.error({ task, err }, "Task failed"),
  });

  const jittered = (periodMs: Millis) => periodMs * (0.9 + 0.2 * random());
  const repeat = (name: string, round: (signal: AbortSignal) => Promise<Millis>) =>
    tasks.run(name, async (signal) => {
      while (!signal.aborted) {
        const pauseMs = await round(signal).catch((err) => {
          if (!signal.aborted) log.warn({ err, round: name }, "Lease round failed");
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
    add(member) {
      if (members.has(member.name)) throw new LeaseError(`Lease "${member.name}" exists already`);
      members.set(member.name, member);
    },
    remove(member) {
      if (members.get(member.name) === member) members.delete(member.name);
    },
    relinquish: (request) => handleRelinquish(request, { self, member: members.get(request.name) }),
    stop: () => tasks.stop(),
  };
}
