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

/** Interval at which slots are requested again. */
const RETRY_MS = 100;
/** Longest wait for a slot of a full workspace; other hosts return idle slots within it. */
const MAX_WAIT_MS = 1_500;
/** Timeout of one call. */
const CALL_TIMEOUT_MS = 500;
/** Interval at which held slots are reported, so that the coordinator regards the host as alive. */
const CONFIRM_MS = 2_000;

/** Returns the name of a workspace's quota shard, which is also the name of the shard's lease. */
export function quotaShard(workspace: string): string {
  const number = createHash("sha256").update(workspace).digest().readUInt32BE(0) % QUOTA_SHARDS;
  return `quota/${number}`;
}

/** Options of {@linkcode createQuotaClient}. */
export interface QuotaClientOptions {
  clock: Clock;
  metrics: Metrics;
  owner: GrantOwner;
  peers: PeerPool;
  directory: CoordinatorDirectory;
  tasks: TaskGroup;
}

/** Slots for concurrent requests of the workspaces, as held by this host. */
export interface QuotaClient {
  /** Takes an idle slot, if there is one. */
  tryAcquire(workspace: string): boolean;
  /** Whether a workspace was near its limit when last reported; a slot should then come first. */
  isTight(workspace: string): boolean;
  /**
   * Waits for a slot.
   *
   * @throws {AdmissionRefusedError} `workspace_limit` or `coordinator_unreachable`
   */
  acquire(workspace: string, options: { deadlineMs: Millis; signal: AbortSignal }): Promise<void>;
  /** Returns a slot, which becomes idle. */
  release(workspace: string): void;
  /** Reports the held slots of a shard to its new coordinator. */
  reportHeld(shard: string): void;
}

interface WorkspaceSlots {
  inUse: number;
  idle: number;
  idleSinceMs: Millis;
  waiting: Set<() => void>;
  isTight: boolean;
  /** Slots that the coordinator counts for this host, as of its last answer. */
  reported: number;
  /** Time since which each answer has granted fewer slots than were wanted. */
  fullSinceMs: Millis | undefined;
}

/** Creates a client that holds no slots. */
export function createQuotaClient(options: QuotaClientOptions): QuotaClient {
  const { clock, directory, owner, peers, tasks } = options;
  const shards = new Map<string, Map<string, WorkspaceSlots>>();
  const flushing = new Map<string, Promise<boolean>>();
  const confirmedMs = new Map<string, Millis>();
  /**
   * Time of the last answer of each shard's coordinator that was not still collecting held slots.
   */
  const lastGrantingMs = new Map<string, Millis>();
  let sequence = 0;

  const slotsOf = (workspace: string) => {
    const shard = quotaShard(workspace);
    const workspaces = shards.get(shard) ?? new Map<string, WorkspaceSlots>();
    shards.set(shard, workspaces);
    const slots: WorkspaceSlots = workspaces.get(workspace) ?? {
      inUse: 0,
      idle: 0,
      idleSinceMs: 0,
      waiting: new Set(),
      isTight: false,
      reported: 0,
      fullSinceMs: undefined,
    };
    workspaces.set(workspace, slots);
    return slots;
  };
  const tryAcquire = (workspace: string) => {
    const slots = slotsOf(workspace);
    if (slots.idle === 0) return false;
    slots.idle -= 1;
    slots.inUse += 1;
    return true;
  };

  /** Whether the shard's coordinator has answered lately and was not collecting held slots. */
  const isGranting = (shard: string) =>
    clock.nowMs() - (lastGrantingMs.get(shard) ?? -Infinity) < MAX_WAIT_MS;

  const recordAnswer = (shard: string, isCollecting: boolean) => {
    if (!isGranting(shard) || isCollecting) {
      for (const slots of shards.get(shard)?.values() ?? []) slots.fullSinceMs = undefined;
    }
    if (isCollecting) lastGrantingMs.delete(shard);
    else lastGrantingMs.set(shard, clock.nowMs());
  };

  const send = async (shard: string): Promise<boolean> => {
    const workspaces = shards.get(shard) ?? new Map<string, WorkspaceSlots>();
    const addresses = directory.addresses({ name: shard });
    const asked = new Set<string>();
    for (let address = addresses.shift(); address !== undefined; address = addresses.shift()) {
      if (asked.has(address)) continue;
      asked.add(address);
      // Counted again for each address, because idle slots may have been taken since.
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
      const isCollecting = reply.isCollecting ?? false;
      recordAnswer(shard, isCollecting);
      for (const { workspace, granted, isTight } of reply.entries) {
        const slots = slotsOf(workspace);
        const { held, want } = entries.find((entry) => entry.workspace === workspace)!;
        const isFull = granted < want && !isCollecting;
        slots.fullSinceMs = isFull ? slots.fullSinceMs ?? clock.nowMs() : undefined;
        slots.idle += granted;
        slots.idleSinceMs = clock.nowMs();
        slots.isTight = isTight;
        slots.reported = held + granted;
        for (const wake of [...slots.waiting].slice(0, slots.idle)) wake();
      }
      return true;
    }
    return false;
  };
  /**
   * Sends one message per shard at a time, so that its reply applies to the counts it was sent
   * with.
   */
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
        // The reply to a message in flight would be added to counts that change here.
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
   * Throws when a request has waited too long for a slot: after {@linkcode MAX_WAIT_MS} in which
   * the shard's coordinator answered that the workspace is full, and otherwise just before the
   * deadline, because a coordinator may still start to grant. An answer to a message that was sent
   * before the request says nothing about its slot.
   */
  const throwIfLate = (
    workspace: string,
    wait: { shard: string; startMs: Millis; deadlineMs: Millis },
  ) => {
    const nowMs = clock.nowMs();
    const { fullSinceMs = Infinity } = slotsOf(workspace);
    if (isGranting(wait.shard) && nowMs - Math.max(wait.startMs, fullSinceMs) > MAX_WAIT_MS) {
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
    tryAcquire,
    isTight: (workspace) => slotsOf(workspace).isTight,
    async acquire(workspace, { deadlineMs, signal }) {
      const startMs = clock.nowMs();
      const shard = quotaShard(workspace);
      while (!tryAcquire(workspace)) {
        const slots = slotsOf(workspace);
        signal.throwIfAborted();
        throwIfLate(workspace, { shard, startMs, deadlineMs });
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
    release(workspace) {
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
