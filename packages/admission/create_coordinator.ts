import { setMaxListeners } from "node:events";
import type { ConfigDocument } from "@jaypass/configuration";
import type { Clock, Logger, Metrics, Millis, RandomSource } from "@jaypass/kernel";
import { createTaskGroup, sleep } from "@jaypass/kernel";
import type { Lease } from "@jaypass/leases";
import type { Membership } from "@jaypass/membership";
import {
  ACQUIRE_WAIT_MS,
  GRANT_DISPATCH_WINDOW_MS,
  REBUILD_MS,
  SERVER_POLL_INTERVAL_MS,
} from "./constants.ts";
import { createScheduler } from "./create_scheduler.ts";
import type { Scheduler } from "./create_scheduler.ts";
import { describePool } from "./_lib/describe_pool.ts";
import { expireGrants } from "./_lib/expire_grants.ts";
import { findGrantByRequest } from "./_lib/find_grant_by_request.ts";
import { handleEndedGrants, handleReport } from "./_lib/handle_report.ts";
import type { AcquireDecision } from "./_lib/lanes.ts";
import type { PoolView } from "./_lib/list_pools.ts";
import { longestRequestMs } from "./_lib/longest_request_ms.ts";
import { pollServer } from "./_lib/poll_server.ts";
import type { ServerProbe } from "./_lib/poll_server.ts";
import type {
  AcquireMessage,
  AcquireReply,
  EndedGrant,
  GrantOwner,
  HeldGrant,
  Report,
  ReportReply,
} from "./messages.ts";
import { classifyLane } from "./classify_lane.ts";
import { LANE, REFUSAL } from "./types.ts";

/** Interval of scheduling rounds while requests wait. */
const ROUND_INTERVAL_MS = 20;
/** Interval of polls of a server whose running work or warmth is not known yet. */
const UNKNOWN_POLL_INTERVAL_MS = 250;

/** Options of {@linkcode createCoordinator}. */
export interface CoordinatorOptions {
  clock: Clock;
  random: RandomSource;
  log: Logger;
  metrics: Metrics;
  /** Peer address of this host. */
  address: string;
  /** Lease of the pool, held when the coordinator is created. */
  lease: Lease;
  membership: Pick<Membership, "askIncarnation" | "hosts">;
  /** Creates the client by which a server is polled. */
  createProbe: (server: PoolView["servers"][number]) => ServerProbe;
  isQuarantined: (fingerprint: string) => boolean;
  onQuarantine: (fingerprint: string, serverId: string) => void;
  onSuspects: (fingerprints: string[], serverId: string) => void;
  /** Asks all hosts for the grants that they hold. */
  announce: () => void;
  /** Time in which running work is collected before the first grant; 3 s by default. */
  rebuildMs?: Millis;
}

/** Grants the requests of one pool while this host holds the pool's lease. */
export interface Coordinator {
  readonly scheduler: Scheduler;
  /** Fencing number of its lease term; a later term needs a new coordinator. */
  readonly fencing: number;
  configure(view: PoolView, document: Readonly<ConfigDocument>): void;
  /** Waits for a grant, at most {@linkcode ACQUIRE_WAIT_MS}. */
  acquire(message: AcquireMessage, signal: AbortSignal): Promise<AcquireReply>;
  /** Applies a host's report and answers with the current waits. */
  report(owner: GrantOwner, part: Report["pools"][number]): ReportReply["pools"][number];
  /** Ends the grants that a host reports as ended. */
  end(host: string, ended: readonly EndedGrant[]): void;
  /** Finds the grant of a request and adds the host to its owners. */
  find(requestId: string, owner: GrantOwner): HeldGrant | undefined;
  describe(): Record<string, unknown>;
  stop(): Promise<void>;
}

/**
 * Creates the coordinator of a pool whose lease this process holds.
 *
 * It grants nothing until it has collected the running work from hosts and engines. This takes 3 s,
 * or less if every host has reported and the dispatch windows of its predecessor's grants have
 * passed.
 *
 * @param name pool name
 * @param options lease, clients and callbacks
 * @returns the coordinator, to be configured next
 *
 * @example
 * const coordinator = createCoordinator("small@gent", { lease, clock, ... });
 * coordinator.configure(view, document);
 */
export function createCoordinator(name: string, options: CoordinatorOptions): Coordinator {
  const { clock, lease, log } = options;
  const fencing = lease.fencing();
  const epoch = `${options.address}/${fencing}/${options.random()}`;
  const startedMs = clock.nowMs();
  const rebuildMs = options.rebuildMs ?? REBUILD_MS;
  const seenMs = new Map<string, Millis>();
  const probes = new Map<string, ServerProbe>();
  const tasks = createTaskGroup({
    onError: (task, err) => log.error({ pool: name, task, err }, "Coordinator task failed"),
  });
  // Each waiting task adds a listener; Node.js warns about more than 10 by default.
  setMaxListeners(0, tasks.signal);
  let longestMs: Millis = 0;

  /** Hosts that may hold grants of an earlier coordinator and have not reported yet. */
  const unreportedHosts = new Set(
    options.membership.hosts().filter(({ state }) => state !== "dead").map(({ id }) => id),
  );
  /** Whether running work has been collected, or the time for it has passed. */
  const isCollected = () => {
    const ageMs = clock.nowMs() - startedMs;
    return ageMs >= rebuildMs || (unreportedHosts.size === 0 && ageMs >= GRANT_DISPATCH_WINDOW_MS);
  };
  const canGrant = () => {
    if (!isCollected() || lease.fencing() !== fencing) return false;
    const mode = lease.mode();
    return mode === "retained" || (mode === "held" && lease.validMs() > GRANT_DISPATCH_WINDOW_MS);
  };
  const scheduler = createScheduler(name, {
    clock,
    log,
    metrics: options.metrics,
    address: options.address,
    allowedLimit: (limit) => lease.allow(limit),
    canGrant,
    fencing: () => fencing,
    isQuarantined: options.isQuarantined,
    onQuarantine: options.onQuarantine,
    onSuspects: options.onSuspects,
  });
  const { pool } = scheduler;

  const notCoordinator = (): AcquireReply => ({
    type: "refused",
    reason: REFUSAL.NOT_COORDINATOR,
    message: `This host is not the coordinator of pool "${name}"`,
    retryAfterMs: 0,
    holder: lease.holder()?.address,
  });

  const acquire = (message: AcquireMessage, signal: AbortSignal): Promise<AcquireReply> => {
    if (lease.mode() === "none" || lease.fencing() !== fencing) {
      return Promise.resolve(notCoordinator());
    }
    const { acquireId, req, owner } = message;
    seenMs.set(owner.host, clock.nowMs());
    const waitMs = () => Math.min(1e9, scheduler.waitMs(classifyLane(req.promptTokens)));
    return new Promise((resolve) => {
      const settle = (decision: AcquireDecision) => {
        clearTimeout(timer);
        signal.removeEventListener("abort", onAbort);
        if (decision.type === "refused") resolve(decision);
        else resolve({ ...decision, waitMs: waitMs() });
      };
      const onAbort = () => {
        scheduler.detach(acquireId);
        settle({ type: "queued" });
      };
      const timer = setTimeout(onAbort, ACQUIRE_WAIT_MS);
      signal.addEventListener("abort", onAbort, { once: true });
      scheduler.acquire({ acquireId, req, owner, settle });
    });
  };

  tasks.run("announce", async (signal) => {
    // Announce twice, because a broadcast can be lost.
    await sleep(0, signal);
    options.announce();
    await sleep(rebuildMs / 3, signal);
    options.announce();
  });
  tasks.run("rounds", async (signal) => {
    while (!signal.aborted) {
      await sleep(ROUND_INTERVAL_MS, signal);
      if (pool.lanes.size > 0) scheduler.run();
    }
  });
  tasks.run("expiry", async (signal) => {
    while (!signal.aborted) {
      await sleep(SERVER_POLL_INTERVAL_MS, signal);
      await expireGrants(pool, {
        seenMs,
        startedMs,
        askIncarnation: options.membership.askIncarnation,
      });
    }
  });

  const startPolling = (serverId: string, probe: ServerProbe) =>
    tasks.run(`poll ${serverId}`, async (signal) => {
      while (!signal.aborted && probes.get(serverId) === probe) {
        await pollServer(scheduler, serverId, {
          probe,
          signal,
          longestRequestMs: longestMs,
          completeFromMs: startedMs + Math.min(rebuildMs, GRANT_DISPATCH_WINDOW_MS),
          isOwned: (requestId) => findGrantByRequest(pool, requestId) !== undefined,
        });
        const server = pool.servers.get(serverId);
        // The warm limit applies only when a second report has confirmed the first one.
        const isKnown = server === undefined ||
          (server.isKnown && server.firstReportMs === undefined);
        const intervalMs = isKnown ? SERVER_POLL_INTERVAL_MS : UNKNOWN_POLL_INTERVAL_MS;
        await sleep(intervalMs * (0.8 + 0.4 * options.random()), signal);
      }
    });

  return {
    scheduler,
    fencing,
    configure(view, document) {
      longestMs = longestRequestMs(document);
      const isDataCentreInService = document.dataCentres[view.dataCentre]?.state !== "out";
      const urls = new Map(
        view.servers.map((server) => [server.id, server.url]),
      );
      for (const server of view.servers) {
        if (pool.servers.get(server.id)?.cfg.url === server.url) continue;
        const old = probes.get(server.id);
        const probe = options.createProbe(server);
        probes.set(server.id, probe);
        void old?.close();
        startPolling(server.id, probe);
      }
      scheduler.configure(
        view.servers.map(({ id, ...cfg }) => ({
          id,
          cfg,
          isOpen: isDataCentreInService && cfg.state === "in",
        })),
        document.models[view.serves],
      );
      for (const [id, probe] of [...probes]) {
        if (urls.has(id) || pool.servers.has(id)) continue;
        probes.delete(id);
        void probe.close();
      }
    },
    acquire,
    report(owner, part) {
      if (lease.mode() === "none" || lease.fencing() !== fencing) {
        return { pool: name, isAccepted: false, holder: lease.holder()?.address };
      }
      seenMs.set(owner.host, clock.nowMs());
      unreportedHosts.delete(owner.host);
      handleReport(pool, owner, part, epoch);
      scheduler.run();
      const waits = Object.values(LANE).map((
        lane,
      ) => [lane, Math.min(1e9, scheduler.waitMs(lane))]);
      return {
        pool: name,
        isAccepted: true,
        mark: { epoch, atMs: clock.nowMs() },
        waitMs: Object.fromEntries(waits),
      };
    },
    end(host, ended) {
      handleEndedGrants(pool, host, ended);
      scheduler.run();
    },
    find(requestId, owner) {
      const record = findGrantByRequest(pool, requestId);
      if (record === undefined) return undefined;
      record.owners.set(owner.host, owner);
      return {
        grant: record.grant,
        fingerprint: record.req.fingerprint,
        tokensPerServer: record.tokensPerServer,
        remainingMs: Math.max(0, record.deadlineMs - clock.nowMs()),
      };
    },
    describe: () => ({ ...describePool(pool), fencing, mode: lease.mode(), isReady: canGrant() }),
    async stop() {
      for (const entry of [...pool.lanes.all()]) {
        entry.settle?.({
          type: "refused",
          reason: REFUSAL.NOT_COORDINATOR,
          message: `This host is not the coordinator of pool "${name}"`,
          retryAfterMs: 0,
        });
      }
      await tasks.stop();
      await Promise.all([...probes.values()].map((probe) => probe.close()));
    },
  };
}
