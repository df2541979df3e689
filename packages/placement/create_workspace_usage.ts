import { LRUCache } from "lru-cache";
import type { Clock, Millis } from "@jaypass/kernel";
import { MAX_TRACKED_WORKSPACES, MIN_USAGE_MS, USAGE_DECAY_MS } from "./constants.ts";

/** Recent work of workspaces at the engines of each service. */
export interface WorkspaceUsage {
  /** Counts work that was given to engines `ageMs` ago. */
  add(service: string, workspace: string, engineMs: Millis, ageMs?: Millis): void;
  /** Returns the recent work of a workspace; older work counts less. */
  usedMs(service: string, workspace: string): Millis;
  /** Returns the equal share of the workspaces that have recent work or wait. */
  shareMs(service: string, waiting: ReadonlySet<string>): Millis;
}

/** An amount that decays. */
interface Amount {
  usedMs: Millis;
  atMs: Millis;
}

/** Interval at which workspaces without recent work are removed. */
const PRUNE_INTERVAL_MS = 1_000;

/**
 * Creates the record of the recent work of workspaces.
 *
 * Meant for a few large workspaces that would fill all engines while many small ones wait. Work is
 * counted when it is placed, also by other hubs, so that a hub that takes over has the same record.
 *
 * @param clock monotonic time source
 * @returns an empty record
 *
 * @example
 * const usage = createWorkspaceUsage(clock);
 * usage.add("model", "w1", 210);
 * usage.usedMs("model", "w1") > usage.shareMs("model", new Set(["w2"])); // true
 */
export function createWorkspaceUsage(clock: Clock): WorkspaceUsage {
  const totals = new Map<string, Amount & { count: number }>();
  let prunedMs = clock.nowMs();

  const currentMs = ({ usedMs, atMs }: Amount) =>
    usedMs * Math.exp((atMs - clock.nowMs()) / USAGE_DECAY_MS);
  const change = (amount: Amount, byMs: Millis) => {
    amount.usedMs = Math.max(0, currentMs(amount) + byMs);
    amount.atMs = clock.nowMs();
  };
  const entries = new LRUCache<string, Amount & { service: string }>({
    max: MAX_TRACKED_WORKSPACES,
    dispose(entry) {
      const total = totals.get(entry.service);
      if (total === undefined) return;
      change(total, -currentMs(entry));
      total.count -= 1;
      if (total.count === 0) totals.delete(entry.service);
    },
  });
  const toKey = (service: string, workspace: string) => `${service}\n${workspace}`;

  const prune = () => {
    if (clock.nowMs() - prunedMs < PRUNE_INTERVAL_MS) return;
    prunedMs = clock.nowMs();
    for (const [key, entry] of [...entries.entries()]) {
      if (currentMs(entry) < MIN_USAGE_MS) entries.delete(key);
    }
  };

  return {
    add(service, workspace, engineMs, ageMs = 0) {
      const nowMs = clock.nowMs();
      const key = toKey(service, workspace);
      const addedMs = engineMs * Math.exp(-Math.max(0, ageMs) / USAGE_DECAY_MS);
      const total = totals.get(service) ?? { usedMs: 0, atMs: nowMs, count: 0 };
      totals.set(service, total);
      change(total, addedMs);
      const entry = entries.get(key);
      if (entry !== undefined) return change(entry, addedMs);
      total.count += 1;
      entries.set(key, { service, usedMs: addedMs, atMs: nowMs });
    },
    usedMs(service, workspace) {
      const entry = entries.peek(toKey(service, workspace));
      return entry === undefined ? 0 : currentMs(entry);
    },
    shareMs(service, waiting) {
      prune();
      const total = totals.get(service);
      if (total === undefined) return 0;
      const idle = [...waiting].filter((workspace) => !entries.has(toKey(service, workspace)));
      return currentMs(total) / (total.count + idle.length);
    },
  };
}
