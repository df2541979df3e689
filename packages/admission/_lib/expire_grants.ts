import type { Millis } from "@jaypass/kernel";
import { HOST_SILENCE_MS } from "../constants.ts";
import { GRANT_OUTCOME } from "../types.ts";
import { endGrant } from "./end_grant.ts";
import type { PoolState } from "./pool_state.ts";

/** Time after its deadline for which a grant of a silent host is kept. */
const DEADLINE_GRACE_MS = 2_000;

/**
 * Ends the grants of hosts that have restarted, and overdue grants of hosts that no longer report.
 *
 * A newer incarnation at a host's address proves that the earlier process has stopped. A host that
 * is only silent may still be using its grants, which are therefore kept until their deadlines.
 *
 * @param pool the pool
 * @param options times of the last messages, and the query for an incarnation
 */
export async function expireGrants(pool: PoolState, options: {
  /** Monotonic time of the last message of each host. */
  seenMs: ReadonlyMap<string, Millis>;
  /** Monotonic start of this coordinator, for hosts that have not sent a message since. */
  startedMs: Millis;
  /** Asks the process at an address for its host id and incarnation. */
  askIncarnation: (
    address: string,
  ) => Promise<{ host: string; incarnation: string } | undefined>;
}): Promise<void> {
  const { clock } = pool.options;
  const isSilent = (host: string) =>
    clock.nowMs() - (options.seenMs.get(host) ?? options.startedMs) > HOST_SILENCE_MS;
  const silent = new Map<string, string>();
  for (const record of pool.grants.values()) {
    for (const owner of record.owners.values()) {
      if (isSilent(owner.host)) silent.set(owner.host, owner.address);
    }
  }
  const answers = new Map(
    await Promise.all(
      [...silent].map(async ([host, address]) =>
        [host, await options.askIncarnation(address).catch(() => undefined)] as const
      ),
    ),
  );
  for (const [grantId, record] of [...pool.grants]) {
    for (const owner of [...record.owners.values()]) {
      const answer = answers.get(owner.host);
      const isReplaced = answer !== undefined && answer.host === owner.host &&
        answer.incarnation > owner.incarnation;
      const isOverdue = silent.has(owner.host) && isSilent(owner.host) &&
        record.deadlineMs + DEADLINE_GRACE_MS < clock.nowMs();
      if (isReplaced || isOverdue) record.owners.delete(owner.host);
    }
    if (record.owners.size === 0) endGrant(pool, grantId, { outcome: GRANT_OUTCOME.CANCELLED });
  }
}
