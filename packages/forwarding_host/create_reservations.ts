import { sleep } from "@jaypass/kernel";
import type { Logger, TaskGroup } from "@jaypass/kernel";
import type { ReservationClient } from "@jaypass/forwarding";
import { RESERVATION_HOLD_MS, RESERVATION_RENEW_MS } from "./constants.ts";
import type { EngineMemoryClient } from "./types.ts";

/** Options of {@linkcode createReservations}. */
export interface ReservationsOptions {
  /** Reserves memory on a single engine. */
  engineMemory: EngineMemoryClient;
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
 * @param options client of the engines, log and task group
 * @returns the client
 *
 * @example
 * const reservation = await reservations.reserve("r1", plans);
 */
export function createReservations(options: ReservationsOptions): ReservationClient {
  const { engineMemory, log, tasks } = options;
  const reserveOne = (plan: MemoryPlan, ticket: string): Promise<boolean> =>
    engineMemory.reserve(plan, { ticket, tokens: plan.tokens, holdMs: RESERVATION_HOLD_MS })
      .catch((err) => {
        log.warn({ ticket, server: plan.serverId, err: String(err) }, "Memory not reserved");
        return false;
      });

  const renewAll = async (plans: readonly MemoryPlan[], ticket: string) => {
    for (const plan of plans) await reserveOne(plan, ticket);
  };

  return {
    async reserve(jobId, plans) {
      const ordered = [...plans].sort((a, b) => a.serverId < b.serverId ? -1 : 1);
      const held: MemoryPlan[] = [];
      const ticket = `jaypass-${jobId}`;
      const release = () => {
        for (const plan of held) {
          tasks.run(
            "release memory",
            () =>
              engineMemory.release(plan, ticket).catch((err) =>
                log.warn({ jobId, server: plan.serverId, err: String(err) }, "Memory not released")
              ),
          );
        }
      };
      for (const plan of ordered) {
        // Added before the call, since a reservation may have succeeded even if its answer is lost.
        held.push(plan);
        if (await reserveOne(plan, ticket)) continue;
        log.info(
          { jobId, server: plan.serverId, tokens: plan.tokens },
          "Engine has too little free memory; releasing the reservation",
        );
        release();
        return undefined;
      }
      const stop = new AbortController();
      tasks.run("renew memory", async (signal) => {
        const anySignal = AbortSignal.any([signal, stop.signal]);
        while (!anySignal.aborted) {
          await sleep(RESERVATION_RENEW_MS, anySignal).catch(() => {});
          if (!anySignal.aborted) await renewAll(held, ticket);
        }
        // Must follow the last renewal, which would otherwise reserve the memory again.
        release();
      });
      return {
        tickets: new Map(held.map((plan) => [plan.serverId, ticket])),
        release: () => stop.abort(),
      };
    },
  };
}
