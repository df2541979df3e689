import type { Clock, Metrics, Millis } from "@jaypass/kernel";
import { createTaskGroup, sleep } from "@jaypass/kernel";
import type { Lease } from "@jaypass/leases";
import type { Membership } from "@jaypass/membership";
import { GRANT_DISPATCH_WINDOW_MS, HOST_SILENCE_MS, REBUILD_MS } from "./constants.ts";
import type { GrantOwner, QuotaMessage, QuotaReply } from "./messages.ts";

/** Share of a limit in use from which hosts are asked to return idle slots. */
const TIGHT_SHARE = 0.75;

/** Share of a limit up to which slots are granted ahead of need. */
const SPARE_SHARE = 0.5;

/** Maximum number of announcements of a new coordinator while some hosts have not answered. */
const MAX_ANNOUNCEMENTS = 10;
/** Interval of these announcements. */
const ANNOUNCE_INTERVAL_MS = 1_000;

/** Options of {@linkcode createQuotaCoordinator}. */
export interface QuotaCoordinatorOptions {
  clock: Clock;
  metrics: Metrics;
  lease: Lease;
  membership: Pick<Membership, "hosts" | "askIncarnation">;
  /** Returns the limit of a workspace, 0 for an unknown one. */
  limitOf: (workspace: string) => number;
  /** Returns the longest time for which a silent host may still use its slots. */
  longestRequestMs: () => Millis;
  /** Asks all hosts to report the slots that they hold. */
  announce: () => void;
  /** Time in which held slots are collected; 3 s by default. */
  rebuildMs?: Millis;
}

/** Grants the slots for concurrent requests of the workspaces in one shard. */
export interface QuotaCoordinator {
  /** Fencing number of its lease term. */
  readonly fencing: number;
  /** Records the slots that a host holds, then grants more. */
  handle(message: QuotaMessage): QuotaReply;
  /** Counts the slots of a workspace that all hosts hold. */
  used(workspace: string): number;
  stop(): Promise<void>;
}

interface HostRecord {
  owner: GrantOwner;
  sequence: number;
  seenMs: Millis;
  held: Map<string, number>;
}

/**
 * Creates the coordinator of a quota shard whose lease this process holds.
 *
 * A host's slots are freed only when it reports so, when a newer process runs at its address, or
 * when none of its requests can still be running. If they simply expired, running requests could
 * exceed the limit.
 *
 * @param options lease, limits and hosts
 * @returns the coordinator
 *
 * @example
 * const quota = createQuotaCoordinator({ clock, metrics, lease, membership, ... });
 */
export function createQuotaCoordinator(options: QuotaCoordinatorOptions): QuotaCoordinator {
  const { clock, lease, membership, metrics } = options;
  const fencing = lease.fencing();
  const startedMs = clock.nowMs();
  const hosts = new Map<string, HostRecord>();
  /** Hosts that may hold slots of an earlier coordinator and have not reported yet. */
  const unreportedHosts = new Set(
    membership.hosts().filter(({ state }) => state !== "dead").map(({ id }) => id),
  );
  const tasks = createTaskGroup({ onError: () => {} });

  const used = (workspace: string) => {
    let sum = 0;
    for (const { held } of hosts.values()) sum += held.get(workspace) ?? 0;
    return sum;
  };
  const canGrant = () =>
    lease.fencing() === fencing &&
    (lease.mode() === "retained" ||
      (lease.mode() === "held" && lease.validMs() > GRANT_DISPATCH_WINDOW_MS));
  const allowance = (workspace: string) => {
    const allowed = lease.allow(options.limitOf(workspace));
    if (clock.nowMs() - startedMs > options.longestRequestMs()) unreportedHosts.clear();
    // The slots of hosts that have not reported are unknown; half of the limit is left for them.
    return unreportedHosts.size > 0 ? Math.floor(allowed / 2) : allowed;
  };

  tasks.run("announce", async (signal) => {
    // Repeated because a broadcast can be lost, and limited because a host may be gone.
    for (let n = 0; n < MAX_ANNOUNCEMENTS && unreportedHosts.size > 0; n++) {
      await sleep(n === 0 ? 0 : ANNOUNCE_INTERVAL_MS, signal);
      options.announce();
    }
  });
  tasks.run("silent hosts", async (signal) => {
    while (!signal.aborted) {
      await sleep(HOST_SILENCE_MS / 3, signal);
      for (const [id, record] of [...hosts]) {
        const silentMs = () => clock.nowMs() - record.seenMs;
        if (silentMs() < HOST_SILENCE_MS || record.held.size === 0) continue;
        const answer = await membership.askIncarnation(record.owner.address).catch(() => undefined);
        // A report may have waited during a stall of this process, or come meanwhile.
        if (hosts.get(id) !== record) continue;
        const isReplaced = answer?.host === id && answer.incarnation > record.owner.incarnation;
        if (isReplaced || silentMs() > options.longestRequestMs()) hosts.delete(id);
      }
    }
  });

  return {
    fencing,
    used,
    handle({ owner, sequence, entries }) {
      const refused = { isAccepted: false, holder: lease.holder()?.address, entries: [] };
      if (!canGrant()) return refused;
      let record = hosts.get(owner.host);
      if (record !== undefined) {
        const { incarnation } = record.owner;
        if (owner.incarnation < incarnation) return refused;
        if (owner.incarnation === incarnation && sequence <= record.sequence) return refused;
        if (owner.incarnation > incarnation) record = undefined;
      }
      record ??= { owner, sequence: 0, seenMs: 0, held: new Map() };
      hosts.set(owner.host, record);
      unreportedHosts.delete(owner.host);
      record.sequence = sequence;
      record.seenMs = clock.nowMs();
      const isCollecting = clock.nowMs() - startedMs < (options.rebuildMs ?? REBUILD_MS);
      for (const { workspace, held } of entries) {
        if (held > 0) record.held.set(workspace, held);
        else record.held.delete(workspace);
      }
      return {
        isAccepted: true,
        isCollecting,
        entries: entries.map(({ workspace, held, want, spare }) => {
          const allowed = allowance(workspace);
          const free = isCollecting ? 0 : Math.max(0, allowed - used(workspace));
          const needed = Math.min(want, free);
          const maxAhead = Math.floor(allowed * SPARE_SHARE) - used(workspace) - needed;
          const granted = needed + (isCollecting ? 0 : Math.max(0, Math.min(spare, maxAhead)));
          if (granted > 0) {
            record.held.set(workspace, held + granted);
            metrics.increment("quota.granted", { workspace });
          }
          const isTight = used(workspace) >= allowed * TIGHT_SHARE;
          return { workspace, granted, isTight };
        }),
      };
    },
    stop: () => tasks.stop(),
  };
}
