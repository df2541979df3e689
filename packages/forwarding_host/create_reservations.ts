import { sleep } from "@jaypass/kernel";
import type { Logger, TaskGroup } from "@jaypass/kernel";
import type { ReservationClient } from "@jaypass/forwarding";
import { RESERVATION_HOLD_MS, RESERVATION_RENEW_MS } from "./constants.ts";
import type { EngineMemoryClient } from "./types.ts";

/** Options of {@linkcode createReservations}. */
export interface ReservationsOptions {
  /** Orders to engines. */
  engineMemory: EngineMemoryClient;
  /** Log. */
  log: Logger;
  /** Owner of the renewals. */
  tasks: TaskGroup;
}

/** Memory to reserve on one engine. */
interface MemoryPlan {
  address: string;
  serverId: string;
  tokens: number;
}

/**
 * Creates the reservations of memory for prompts that are larger than an engine.
 *
 * Memory is taken on all engines or on none, in the order of their ids, so that two prompts never
 * each hold what the other waits for. A reservation runs out by itself soon after its host fails.
 *
 * @param options orders, log and owner of the renewals
 * @returns the client
 *
 * @example
 * const reservation = await reservations.reserve("r1", plans);
 */
export function createReservations(options: ReservationsOptions): ReservationClient {
  const { engineMemory: orders, log, tasks } = options;
  const reserveOne = (plan: MemoryPlan, ticket: string): Promise<boolean> =>
    orders.reserve(plan, { ticket, tokens: plan.tokens, holdMs: RESERVATION_HOLD_MS })
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
              orders.release(plan, ticket).catch((err) =>
                log.warn({ jobId, server: plan.serverId, err: String(err) }, "Memory not released")
              ),
          );
        }
      };
      for (const plan of ordered) {
        // Held from the call on, since an order without an answer may have been carried out.
        held.push(plan);
        if (await reserveOne(plan, ticket)) continue;
        log.info({ jobId, server: plan.serverId, tokens: plan.tokens }, "Engine has no memory");
        release();
        return undefined;
      }
      const stop = new AbortController();
      tasks.run("renew memory", async (signal) => {
        const either = AbortSignal.any([signal, stop.signal]);
        while (!either.aborted) {
          await sleep(RESERVATION_RENEW_MS, either).catch(() => {});
          if (!either.aborted) await renewAll(held, ticket);
        }
        // After the last renewal, which would otherwise reserve the memory again.
        release();
      });
      return {
        tickets: new Map(held.map((plan) => [plan.serverId, ticket])),
        release: () => stop.abort(),
      };
    },
  };
}
