import { sleep } from "@jaypass/kernel";
import type { Clock, Logger, TaskGroup } from "@jaypass/kernel";
import type { ReservationClient } from "@jaypass/forwarding";
import { RESERVATION_HOLD_MS, RESERVATION_RENEW_MS, RESERVATION_RETRY_MS } from "./constants.ts";
import type { EngineMemoryClient } from "./types.ts";

/** Options of {@linkcode createReservations}. */
export interface ReservationsOptions {
  /** Reserves memory on a single engine. */
  engineMemory: EngineMemoryClient;
  /** Monotonic time source. */
  clock: Clock;
  log: Logger;
  /** Runs the renewals and releases. */
  tasks: TaskGroup;
}

/** Memory to reserve on one engine. */
interface MemoryPlan {
  address: string;
  serverId: string;
  tokens: number;
}

/**
 * Creates the client that reserves memory for prompts that do not fit on one engine.
 *
 * Memory is reserved on all engines or on none, in the order of their ids, so that two prompts
 * cannot deadlock. If its host fails, a reservation expires because nobody renews it.
 *
 * @param options client of the engines, clock, log and task group
 * @returns the client
 *
 * @example
 * const reservation = await reservations.reserve("r1", plans);
 */
export function createReservations(options: ReservationsOptions): ReservationClient {
  const { engineMemory, clock, log, tasks } = options;
  const reserveOne = (plan: MemoryPlan, ticket: string): Promise<boolean> =>
    engineMemory.reserve(plan, { ticket, tokens: plan.tokens, holdMs: RESERVATION_HOLD_MS })
      .catch((err) => {
        log.warn({ ticket, server: plan.serverId, err: String(err) }, "Memory not reserved");
        return false;
      });

  /** Renews a reservation until it is to end, then releases it. */
  const keepReserved = async (plan: MemoryPlan, ticket: string, signal: AbortSignal) => {
    let waitMs = RESERVATION_RENEW_MS;
    while (!signal.aborted) {
      await sleep(waitMs, signal).catch(() => {});
      if (signal.aborted) break;
      const startMs = clock.nowMs();
      const isRenewed = await reserveOne(plan, ticket);
      const retryMs = startMs + RESERVATION_RETRY_MS - clock.nowMs();
      waitMs = isRenewed ? RESERVATION_RENEW_MS : Math.max(0, retryMs);
    }
    // Must follow the last renewal, which would otherwise reserve the memory again.
    await engineMemory.release(plan, ticket).catch((err) =>
      log.warn({ ticket, server: plan.serverId, err: String(err) }, "Memory not released")
    );
  };

  return {
    async reserve(jobId, plans) {
      const ordered = [...plans].sort((a, b) => a.serverId < b.serverId ? -1 : 1);
      const ticket = `jaypass-${jobId}`;
      const end = new AbortController();
      for (const plan of ordered) {
        const isReserved = await reserveOne(plan, ticket);
        // Engines are renewed independently, since a slow one would let the memory of others lapse.
        // A refused one is released too: it may have reserved the memory if its answer was lost.
        tasks.run("renew memory", async (signal) => {
          // AbortSignal.any would leave an entry in the signal of the tasks for each reservation.
          const onStop = () => end.abort();
          if (signal.aborted) onStop();
          signal.addEventListener("abort", onStop, { once: true });
          await keepReserved(plan, ticket, end.signal);
          signal.removeEventListener("abort", onStop);
        });
        if (isReserved) continue;
        log.info(
          { jobId, server: plan.serverId, tokens: plan.tokens },
          "Engine has too little free memory; releasing the reservation",
        );
        end.abort();
        return undefined;
      }
      return {
        tickets: new Map(ordered.map((plan) => [plan.serverId, ticket])),
        release: () => end.abort(),
      };
    },
  };
}
