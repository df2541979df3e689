import type { Clock, Millis } from "@jaypass/kernel";
import { sleep } from "@jaypass/kernel";
import { AdmissionRefusedError } from "../errors.ts";
import type { AcquireMessage, AcquireReply } from "../messages.ts";
import { REFUSAL } from "../types.ts";
import type { Grant } from "../types.ts";
import type { CoordinatorDirectory } from "./coordinator_directory.ts";
import type { PoolView } from "./list_pools.ts";

/** Rounds over all known addresses before the coordinator is reported as unreachable. */
const MAX_ROUNDS = 2;
/** Pause between two rounds. */
const ROUND_PAUSE_MS = 100;

/** Options of {@linkcode acquireFromPool}. */
export interface AcquireFromPoolOptions {
  clock: Clock;
  directory: CoordinatorDirectory;
  signal: AbortSignal;
  /** Monotonic time after which a grant is of no use to the request. */
  deadlineMs: Millis;
  /** Builds the message with the time that the request has left now. */
  message: () => AcquireMessage;
  call: (address: string, message: AcquireMessage) => Promise<AcquireReply>;
  /** Called with the estimated wait in the request's lane, which each answer contains. */
  onWait: (waitMs: Millis) => void;
}

/**
 * Acquires a grant from the coordinator of one pool, repeating the call while the request is
 * queued.
 *
 * @param pool the pool
 * @param options clients, message and deadline
 * @returns the grant and the monotonic time at which the call that it answers was sent
 * @throws {AdmissionRefusedError} with the coordinator's reason, or `coordinator_unreachable`
 */
export async function acquireFromPool(
  pool: PoolView,
  options: AcquireFromPoolOptions,
): Promise<{ grant: Grant; sentMs: Millis }> {
  const { clock, directory, signal } = options;
  let cause: unknown;
  for (let round = 0; round < MAX_ROUNDS; round++) {
    const addresses = directory.addresses(pool);
    const asked = new Set<string>();
    for (let address = addresses.shift(); address !== undefined; address = addresses.shift()) {
      if (asked.has(address)) continue;
      asked.add(address);
      for (;;) {
        signal.throwIfAborted();
        const sentMs = clock.nowMs();
        if (sentMs >= options.deadlineMs) {
          throw new AdmissionRefusedError(
            REFUSAL.DEADLINE_PASSED,
            "Deadline passed before a grant was received",
            { cause },
          );
        }
        let reply: AcquireReply;
        try {
          reply = await options.call(address, options.message());
        } catch (err) {
          signal.throwIfAborted();
          cause = err;
          directory.forget(pool.name, address);
          break;
        }
        if (reply.type === "refused" && reply.reason === REFUSAL.NOT_COORDINATOR) {
          directory.forget(pool.name, address);
          if (reply.holder !== undefined && !asked.has(reply.holder)) {
            addresses.unshift(reply.holder);
          }
          break;
        }
        directory.recordAnswer(pool.name, address);
        if (reply.type === "refused") {
          throw new AdmissionRefusedError(reply.reason, `Pool "${pool.name}": ${reply.message}`, {
            retryAfterMs: reply.retryAfterMs,
          });
        }
        options.onWait(reply.waitMs);
        if (reply.type === "granted") return { grant: reply.grant, sentMs };
        const [newer] = directory.addresses(pool);
        if (newer !== undefined && !asked.has(newer)) {
          // A new coordinator has announced itself. The earlier one may have kept only part of the
          // limits, so the new one is tried next.
          addresses.unshift(newer);
          break;
        }
      }
    }
    if (round + 1 < MAX_ROUNDS) await sleep(ROUND_PAUSE_MS, signal);
  }
  throw new AdmissionRefusedError(
    REFUSAL.COORDINATOR_UNREACHABLE,
    `No coordinator of pool "${pool.name}" answered`,
    { cause, retryAfterMs: 1_000 },
  );
}
