import type { Clock, Metrics, Millis, TaskGroup } from "@jaypass/kernel";
import { sleep } from "@jaypass/kernel";
import type { PeerPool } from "@jaypass/peers";
import { createHash } from "node:crypto";
import { QUOTA_IDLE_TIMEOUT_MS, QUOTA_PREFETCH_SLOTS, QUOTA_SHARDS } from "../constants.ts";
import { AdmissionRefusedError } from "../errors.ts";
import { QUOTA } from "../messages.ts";
import type { GrantOwner, QuotaReply } from "../messages.ts";
import { REFUSAL } from "../types.ts";
import type { CoordinatorDirectory } from "./coordinator_directory.ts";

/** Pause before slots are asked for again. */
const RETRY_MS = 100;
/** Longest wait for a slot; idle slots of other hosts come back within it. */
const MAX_WAIT_MS = 1_500;
/** Limit of one call. */
const CALL_TIMEOUT_MS = 500;
/** Interval at which held slots are confirmed, so that the coordinator does not count a host silent. */
const CONFIRM_MS = 2_000;

/** Name of the shard, and of its lease, that a workspace belongs to. */
export function quotaShard(workspace: string): string {
  const number = createHash("sha256").update(workspace).digest().readUInt32BE(0) % QUOTA_SHARDS;
  return `quota/${number}`;
}

/** What the quota client needs. */
export interface QuotaClientOptions {
  clock: Clock;
  metrics: Metrics;
  owner: GrantOwner;
  peers: PeerPool;
  directory: CoordinatorDirectory;
  tasks: TaskGroup;
}

/** Slots of workspaces on this host. */
export interface QuotaClient {
  /** Takes an idle slot at once, if there is one. */
  tryTake(workspace: string): boolean;
  /** Whether a workspace was near its limit lately, so that slots should be taken first. */
  isTight(workspace: string): boolean;
  /** Waits for a slot. @throws {AdmissionRefusedError} `workspace_limit` or `coordinator_unreachable` */
  take(workspace: string, options: { deadlineMs: Millis; signal: AbortSignal }): Promise<void>;
  /** Gives a taken slot back. */
  give(workspace: string): void;
  /** Tells a new coordinator of a shard what is held. */
  reportHeld(shard: string): void;
}

interface WorkspaceSlots {
  inUse: number;
  idle: number;
  idleSinceMs: Millis;
  waiting: Set<() => void>;
  isTight: boolean;
  /** Slots that were last reported to the coordinator. */
  reported: number;
}

/** Creates a client without slots. */
export function createQuotaClient(options: QuotaClientOptions): QuotaClient {
  const { clock, directory, owner, peers, tasks } = options;
  const shards = new Map<string, Map<string, WorkspaceSlots>>();
  const flushing = new Map<string, Promise<boolean>>();
  const confirmedMs = new Map<string, Millis>();
  /** When a shard's coordinator last answered and did not collect the slots held from before. */
  const grantingMs = new Map<string, Millis>();
  /** Start of the time in which it has answered so. */
  const grantingFromMs = new Map<string, Millis>();
  let sequence = 0;

  const slotsOf = (workspace: string) => {
    const shard = quotaShard(workspace);
    const workspaces = shards.get(shard) ?? new Map<string, WorkspaceSlots>();
    shards.set(shard, workspaces);
    const slots = workspaces.get(workspace) ??
      { inUse: 0, idle: 0, idleSinceMs: 0, waiting: new Set(), isTight: false, reported: 0 };
    workspaces.set(workspace, slots);
    return slots;
  };
  const tryTake = (workspace: string) => {
    const slots = slotsOf(workspace);
    if (slots.idle === 0) return false;
    slots.idle -= 1;
    slots.inUse += 1;
    return true;
  };

  const noteAnswer = (shard: string, isCollecting: boolean) => {
    const nowMs = clock.nowMs();
    if (isCollecting) {
      grantingMs.delete(shard);
      return;
    }
    const lastMs = grantingMs.get(shard);
    if (lastMs === undefined || nowMs - lastMs > MAX_WAIT_MS) grantingFromMs.set(shard, nowMs);
    grantingMs.set(shard, nowMs);
  };

  const send = async (shard: string): Promise<boolean> => {
    const workspaces = shards.get(shard) ?? new Map<string, WorkspaceSlots>();
    const addresses = directory.addresses({ name: shard });
    const asked = new Set<string>();
    for (let address = addresses.shift(); address !== undefined; address = addresses.shift()) {
      if (asked.has(address)) continue;
      asked.add(address);
      // The counts are read at each try: idle slots may have been taken since the last one.
      const entries = [...workspaces].map(([workspace, { inUse, idle, waiting, isTight }]) => ({
        workspace,
        held: inUse + idle,
        want: waiting.size,
        spare: waiting.size === 0 || isTight ? 0 : QUOTA_PREFETCH_SLOTS,
      }));
      let reply: QuotaReply;
      try {
        reply = await peers.call(
          address,
          QUOTA,
          { shard, owner, sequence: ++sequence, entries },
          { timeoutMs: CALL_TIMEOUT_MS, signal: tasks.signal },
        );
      } catch {
        directory.forget(shard, address);
        continue;
      }
      if (!reply.isAccepted) {
        directory.forget(shard, address);
        if (reply.holder !== undefined && !asked.has(reply.holder)) addresses.unshift(reply.holder);
        continue;
      }
      directory.recordAnswer(shard, address);
      confirmedMs.set(shard, clock.nowMs());
      noteAnswer(shard, reply.isCollecting ?? false);
      for (const { workspace, granted, isTight } of reply.entries) {
        const slots = slotsOf(workspace);
        slots.idle += granted;
        slots.idleSinceMs = clock.nowMs();
        slots.isTight = isTight;
        slots.reported = entries.find((entry) => entry.workspace === workspace)!.held + granted;
        for (const wake of [...slots.waiting].slice(0, slots.idle)) wake();
      }
      return true;
    }
    return false;
  };
  /** One message per shard is under way at a time, so that its reply adds to known counts. */
  const flush = (shard: string): Promise<boolean> => {
    const running = flushing.get(shard);
    if (running !== undefined) return running;
    const promise = send(shard).finally(() => flushing.delete(shard));
    flushing.set(shard, promise);
    return promise;
  };

  tasks.run("quota slots", async (signal) => {
    while (!signal.aborted) {
      await sleep(RETRY_MS, signal);
      const nowMs = clock.nowMs();
      for (const [shard, workspaces] of shards) {
        // A reply under way would add to counts that change here.
        if (flushing.has(shard)) continue;
        let isChanged = false;
        let held = 0;
        for (const [workspace, slots] of workspaces) {
          if (
            slots.idle > 0 && (slots.isTight || nowMs - slots.idleSinceMs > QUOTA_IDLE_TIMEOUT_MS)
          ) {
            slots.idle = 0;
          }
          held += slots.inUse + slots.idle;
          isChanged ||= slots.reported !== slots.inUse + slots.idle || slots.waiting.size > 0;
          const isEmpty = slots.reported + slots.inUse + slots.idle + slots.waiting.size === 0;
          if (isEmpty) workspaces.delete(workspace);
        }
        const isDue = held > 0 && nowMs - (confirmedMs.get(shard) ?? 0) > CONFIRM_MS;
        if (isChanged || isDue) tasks.run("quota", async () => void await flush(shard));
      }
    }
  });

  /**
   * Ends a wait for a slot: soon when the shard's coordinator said that the workspace is full, and
   * only near the deadline while the shard has no coordinator that grants.
   */
  const refuseLate = (
    workspace: string,
    wait: { shard: string; startMs: Millis; deadlineMs: Millis },
  ) => {
    const nowMs = clock.nowMs();
    const fullMs = grantingMs.get(wait.shard);
    const isGranting = fullMs !== undefined && nowMs - fullMs < MAX_WAIT_MS;
    if (
      isGranting && nowMs - Math.max(wait.startMs, grantingFromMs.get(wait.shard)!) > MAX_WAIT_MS
    ) {
      const message = `Workspace "${workspace}" is at its limit`;
      throw new AdmissionRefusedError(REFUSAL.WORKSPACE_LIMIT, message, { retryAfterMs: 1_000 });
    }
    if (nowMs + RETRY_MS >= wait.deadlineMs) {
      const message = `Quota shard "${wait.shard}" grants nothing`;
      throw new AdmissionRefusedError(REFUSAL.COORDINATOR_UNREACHABLE, message, {
        retryAfterMs: 1_000,
      });
    }
  };

  return {
    tryTake,
    isTight: (workspace) => slotsOf(workspace).isTight,
    async take(workspace, { deadlineMs, signal }) {
      const startMs = clock.nowMs();
      const shard = quotaShard(workspace);
      while (!tryTake(workspace)) {
        const slots = slotsOf(workspace);
        signal.throwIfAborted();
        refuseLate(workspace, { shard, startMs, deadlineMs });
        let wake = () => {};
        const woken = new Promise<void>((resolve) => wake = resolve);
        slots.waiting.add(wake);
        try {
          if (!flushing.has(shard)) await Promise.race([flush(shard), woken]);
          if (slots.idle === 0) await Promise.race([woken, sleep(RETRY_MS, signal)]);
        } finally {
          slots.waiting.delete(wake);
        }
      }
    },
    give(workspace) {
      const slots = slotsOf(workspace);
      slots.inUse -= 1;
      slots.idle += 1;
      slots.idleSinceMs = clock.nowMs();
      const [wake] = slots.waiting;
      wake?.();
    },
    reportHeld(shard) {
      tasks.run("quota", async () => void await flush(shard));
    },
  };
}
