import type { BackendServerConfig } from "@jaypass/configuration";
import { createMetrics } from "@jaypass/kernel";
import { createScheduler } from "../create_scheduler.ts";
import type { AcquireDecision, Scheduler } from "../create_scheduler.ts";
import type { AcquireRequest, Grant } from "../types.ts";
import { createManualClock } from "./create_manual_clock.ts";
import { createTestDocument } from "./create_test_document.ts";
import { SILENT_LOG, testRequest } from "./create_test_system.ts";

/** A scheduler on a manual clock with a record of its decisions. */
export interface TestScheduler {
  scheduler: Scheduler;
  clock: ReturnType<typeof createManualClock>;
  /** Part of each limit that the lease allows, initially the whole limit. */
  lease: { allow: (limit: number) => number };
  decisions: Map<string, AcquireDecision>;
  quarantined: Set<string>;
  /** Sends a request; further calls with the same id continue its wait. */
  acquire(requestId: string, changes?: Partial<AcquireRequest>): AcquireDecision | undefined;
  grant(requestId: string): Grant | undefined;
}

/** Creates a scheduler with warm servers whose running work is known. */
export function createTestScheduler(
  servers: Record<string, BackendServerConfig>,
): TestScheduler {
  const clock = createManualClock();
  const lease = { allow: (limit: number) => limit };
  const decisions = new Map<string, AcquireDecision>();
  const quarantined = new Set<string>();
  const scheduler = createScheduler("small@gent", {
    clock,
    log: SILENT_LOG,
    metrics: createMetrics({ tags: {} }),
    address: "h0",
    allowedLimit: (limit) => lease.allow(limit),
    canGrant: () => true,
    fencing: () => 1,
    isQuarantined: (fingerprint) => quarantined.has(fingerprint),
    onQuarantine: (fingerprint) => void quarantined.add(fingerprint),
    onSuspects: () => {},
  });
  scheduler.configure(
    Object.entries(servers).map(([id, cfg]) => ({ id, cfg, isOpen: true })),
    createTestDocument(servers).models.small,
  );
  for (const server of scheduler.pool.servers.values()) {
    server.isKnown = true;
    // A server counts as warm only when a second report confirms the first one.
    for (let n = 0; n < 2; n++) {
      scheduler.observe(server.id, { restartCount: 1, warm: true, ageMs: 0, models: {} });
    }
  }
  return {
    scheduler,
    clock,
    lease,
    decisions,
    quarantined,
    acquire(requestId, changes) {
      scheduler.acquire({
        acquireId: requestId,
        req: testRequest(requestId, changes),
        owner: { host: "h0", incarnation: "1", address: "h0" },
        settle: (decision) => {
          if (decision.type !== "queued") decisions.set(requestId, decision);
        },
      });
      return decisions.get(requestId);
    },
    grant(requestId) {
      const decision = decisions.get(requestId);
      return decision?.type === "granted" ? decision.grant : undefined;
    },
  };
}
