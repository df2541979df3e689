import type { Clock, Logger, Metrics, Millis } from "@jaypass/kernel";
import { createTaskGroup, sleep } from "@jaypass/kernel";
import type { Membership } from "@jaypass/membership";
import type { TableClient } from "@jaypass/store_clients";
import { z } from "zod";
import { QUARANTINE_MS } from "./constants.ts";

/** Table of the quarantine rows, keyed by fingerprint. */
const TABLE = "quarantine";
/** Topic of broadcasts, which reach hosts earlier than their next read of the table. */
const TOPIC = "quarantine";
/** Interval of reads of the table. */
const READ_INTERVAL_MS = 30_000;
/** Pause before a failed write is repeated. */
const WRITE_RETRY_MS = 2_000;
/** Timeout of one call to the table service. */
const CALL_TIMEOUT_MS = 2_000;

const noticeSchema = z.object({
  kind: z.enum(["suspect", "convicted", "released"]),
  fingerprints: z.array(z.string()),
  remainingMs: z.number().optional(),
});
const rowSchema = z.object({ untilWallMs: z.number(), pool: z.string(), server: z.string() });

/** Options of {@linkcode createQuarantine}. */
export interface QuarantineOptions {
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  membership: Pick<Membership, "broadcast" | "onBroadcast">;
  table: TableClient;
  /** Called with the suspects that other pools announce. */
  onSuspects: (fingerprints: string[]) => void;
}

/** A quarantined fingerprint, as operators see it. */
export interface QuarantineEntry {
  fingerprint: string;
  remainingMs: Millis;
}

/** Fingerprints whose requests are refused in all pools. */
export interface Quarantine {
  isQuarantined(fingerprint: string): boolean;
  /** Quarantines a fingerprint in all pools for {@linkcode QUARANTINE_MS}. */
  add(fingerprint: string, origin: { pool: string; server: string }): void;
  /** Announces suspects to the coordinators of other pools. */
  announceSuspects(fingerprints: string[]): void;
  list(): QuarantineEntry[];
  /** Ends a quarantine for an operator. @throws {Error} when the row cannot be deleted */
  release(fingerprint: string): Promise<void>;
  stop(): Promise<void>;
}

/**
 * Creates the quarantine of a host, which is stored in the table service and spread by broadcasts.
 *
 * While the table service is down, a new quarantine applies through the broadcast alone, and its
 * row is written later.
 *
 * @param options table service and membership
 * @returns the quarantine, started
 *
 * @example
 * const quarantine = createQuarantine({ clock, table, membership, ... });
 * if (quarantine.isQuarantined(req.fingerprint)) ...
 */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  const { clock, log, membership, table } = options;
  /** Monotonic end of each quarantine, by fingerprint. */
  const untilMs = new Map<string, Millis>();
  /**
   * Fingerprints whose rows are not yet written; their absence from the table does not end them.
   */
  const pending = new Set<string>();
  const tasks = createTaskGroup({
    onError: (task, err) => log.error({ task, err }, "Quarantine task failed"),
  });

  const isQuarantined = (fingerprint: string) => {
    const until = untilMs.get(fingerprint);
    if (until === undefined) return false;
    if (until > clock.nowMs()) return true;
    untilMs.delete(fingerprint);
    return false;
  };

  const write = async (fingerprint: string, value: unknown, signal: AbortSignal) => {
    const call = { timeoutMs: CALL_TIMEOUT_MS, signal };
    while (!signal.aborted && isQuarantined(fingerprint)) {
      const result = await table.commit(
        { conditions: [], writes: [{ table: TABLE, key: fingerprint, value }] },
        call,
      );
      // Writing the same row again does no harm, so a write of unknown outcome is repeated.
      if (result.outcome === "done") break;
      await sleep(WRITE_RETRY_MS, signal);
    }
    pending.delete(fingerprint);
  };

  const read = async (signal: AbortSignal) => {
    const call = { timeoutMs: CALL_TIMEOUT_MS, signal };
    const found = new Set<string>();
    for (let after = "";;) {
      const rows = await table.list<unknown>(TABLE, { ...call, after });
      for (const { key, value } of rows) {
        const row = rowSchema.safeParse(value);
        if (!row.success) continue;
        // Differences between the wall clocks of hosts are small compared with an hour.
        const remainingMs = Math.min(QUARANTINE_MS, row.data.untilWallMs - clock.wallMs());
        found.add(key);
        if (remainingMs > 0) untilMs.set(key, clock.nowMs() + remainingMs);
        else {
          await table.commit({
            conditions: [],
            writes: [{ table: TABLE, key, value: null }],
          }, call);
        }
      }
      const last = rows.at(-1);
      if (last === undefined || rows.length < 1_000) break;
      after = last.key;
    }
    for (const fingerprint of untilMs.keys()) {
      if (!found.has(fingerprint) && !pending.has(fingerprint)) untilMs.delete(fingerprint);
    }
  };

  tasks.run("read", async (signal) => {
    while (!signal.aborted) {
      await read(signal).catch((err) => {
        if (!signal.aborted) {
          log.debug({ err }, "Quarantine table read failed; the next read tries again");
        }
      });
      await sleep(READ_INTERVAL_MS, signal);
    }
  });
  membership.onBroadcast(TOPIC, (payload) => {
    const notice = noticeSchema.safeParse(payload);
    if (!notice.success) return;
    const { kind, fingerprints, remainingMs = QUARANTINE_MS } = notice.data;
    if (kind === "suspect") options.onSuspects(fingerprints);
    for (const fingerprint of fingerprints) {
      if (kind === "released") untilMs.delete(fingerprint);
      if (kind === "convicted") untilMs.set(fingerprint, clock.nowMs() + remainingMs);
    }
  });

  return {
    isQuarantined,
    add(fingerprint, origin) {
      if (isQuarantined(fingerprint)) return;
      untilMs.set(fingerprint, clock.nowMs() + QUARANTINE_MS);
      pending.add(fingerprint);
      options.metrics.increment("admission.quarantined");
      log.warn({ fingerprint, ...origin }, "Request quarantined after a second crash");
      membership.broadcast(TOPIC, { kind: "convicted", fingerprints: [fingerprint] });
      const value = { untilWallMs: clock.wallMs() + QUARANTINE_MS, ...origin };
      tasks.run("write", (signal) => write(fingerprint, value, signal));
    },
    announceSuspects: (fingerprints) =>
      membership.broadcast(TOPIC, { kind: "suspect", fingerprints }),
    list: () =>
      [...untilMs.keys()].filter(isQuarantined).map((fingerprint) => ({
        fingerprint,
        remainingMs: untilMs.get(fingerprint)! - clock.nowMs(),
      })),
    async release(fingerprint) {
      const result = await table.commit(
        { conditions: [], writes: [{ table: TABLE, key: fingerprint, value: null }] },
        { timeoutMs: CALL_TIMEOUT_MS },
      );
      if (result.outcome !== "done") {
        throw new Error(`Releasing the quarantine of "${fingerprint}" failed: ${result.outcome}`);
      }
      untilMs.delete(fingerprint);
      membership.broadcast(TOPIC, { kind: "released", fingerprints: [fingerprint] });
    },
    stop: () => tasks.stop(),
  };
}
