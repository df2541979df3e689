import type { PeerServer } from "@jaypass/peers";
import { ACQUIRE, DESCRIBE, FIND, QUOTA, RELEASE, REPORT } from "../messages.ts";
import { REFUSAL } from "../types.ts";
import type { Coordinator } from "../create_coordinator.ts";
import type { QuotaCoordinator } from "../create_quota_coordinator.ts";
import type { CoordinationTarget, CoordinatorSet } from "./coordinator_set.ts";

/**
 * Serves the admission calls of other hosts.
 *
 * @param server the peer server, not yet listening
 * @param options coordinators of this host
 */
export function handleAdmissionCalls(server: PeerServer, options: {
  pools: CoordinatorSet<CoordinationTarget, Coordinator>;
  quotas: CoordinatorSet<CoordinationTarget, QuotaCoordinator>;
}): void {
  const { pools: coordinators, quotas } = options;
  server.handle(ACQUIRE, (message, { signal }) => {
    const coordinator = coordinators.find(message.pool);
    if (coordinator !== undefined) return coordinator.acquire(message, signal);
    return Promise.resolve({
      type: "refused",
      reason: REFUSAL.NOT_COORDINATOR,
      message: `This host is not the coordinator of pool "${message.pool}"`,
      retryAfterMs: 0,
      holder: coordinators.holder(message.pool),
    });
  });
  server.handle(REPORT, (report) =>
    Promise.resolve({
      pools: report.pools.map((part) =>
        coordinators.find(part.pool)?.report(report.owner, part) ??
          { pool: part.pool, isAccepted: false, holder: coordinators.holder(part.pool) }
      ),
    }));
  server.handle(RELEASE, ({ owner, ended }) => {
    const confirmed: string[] = [];
    for (const item of ended) {
      const coordinator = coordinators.find(item.pool);
      if (coordinator === undefined) continue;
      coordinator.end(owner.host, [item]);
      confirmed.push(item.grantId);
    }
    return Promise.resolve({ confirmed });
  });
  server.handle(FIND, ({ requestId, owner }) => {
    for (const coordinator of coordinators.all()) {
      const held = coordinator.find(requestId, owner);
      if (held !== undefined) return Promise.resolve({ held });
    }
    return Promise.resolve({});
  });
  server.handle(DESCRIBE, ({ pool }) =>
    Promise.resolve({
      pools: [...coordinators.all()].map((coordinator) => coordinator.describe())
        .filter((described) => pool === undefined || described.pool === pool),
    }));
  server.handle(QUOTA, (message) => {
    const reply = quotas.find(message.shard)?.handle(message);
    return Promise.resolve(
      reply ?? { isAccepted: false, holder: quotas.holder(message.shard), entries: [] },
    );
  });
}
