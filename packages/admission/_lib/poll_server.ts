import type { EngineClient } from "@jaypass/engines";
import type { Millis } from "@jaypass/kernel";
import { SERVER_CALL_TIMEOUT_MS } from "../constants.ts";
import type { Scheduler } from "../create_scheduler.ts";
import { reconcileServer } from "./reconcile_server.ts";
import { removeForeign, setForeign } from "./server_capacity.ts";
import type { ServerState } from "./server_state.ts";

/** Client by which a coordinator polls a server; plain services have only load reports. */
export type ServerProbe =
  & Pick<EngineClient, "load" | "close">
  & Partial<Pick<EngineClient, "active" | "cancel" | "cacheEvents">>;

/**
 * How long ended requests are remembered. If a server still lists one of them, the request has
 * leaked, unless the list was requested before the request ended.
 */
const ENDED_RETENTION_MS = 600_000;

/** Adds foreign work for requests in a plain service's load report that no host has reported. */
function addUnreportedWork(server: ServerState, running: number, untilMs: Millis, nowMs: Millis) {
  const known = server.reservations.size + server.foreign.size;
  for (let n = 0; n < running - known; n++) {
    const requestId = `unreported/${n}`;
    setForeign(server, { requestId, tokens: 0, untilMs, addedMs: nowMs, isReleased: false });
  }
}

/**
 * Reads the load and the active requests of a server and updates the state of the pool.
 *
 * A server that has not answered yet gets no grants, because its running requests are not known.
 *
 * @param scheduler scheduler of the pool
 * @param serverId the server
 * @param options client, time limits and owners
 */
export async function pollServer(scheduler: Scheduler, serverId: string, options: {
  probe: ServerProbe;
  signal: AbortSignal;
  longestRequestMs: Millis;
  /** Whether a host holds a grant of the request. */
  isOwned: (requestId: string) => boolean;
  /**
   * Monotonic time from which a list of active requests is complete. A list requested earlier may
   * miss grants of an earlier coordinator that were dispatched later.
   */
  completeFromMs: Millis;
}): Promise<void> {
  const { probe, signal, longestRequestMs } = options;
  const { pool } = scheduler;
  const { clock, log } = pool.options;
  const server = pool.servers.get(serverId);
  if (server === undefined) return;
  const call = { timeoutMs: SERVER_CALL_TIMEOUT_MS, signal };
  const askedMs = clock.nowMs();
  try {
    const [load, active] = await Promise.all([probe.load(call), probe.active?.(call)]);
    scheduler.observe(serverId, load);
    const nowMs = clock.nowMs();
    if (active === undefined) {
      const untilMs = nowMs + longestRequestMs;
      if (!server.isKnown) addUnreportedWork(server, load.running, untilMs, nowMs);
      for (const work of [...server.foreign.values()]) {
        if (work.isReleased || work.untilMs <= nowMs) removeForeign(server, work.requestId);
      }
    } else {
      const endedMs = pool.endedMs.get(serverId) ?? new Map<string, Millis>();
      for (const [requestId, atMs] of endedMs) {
        if (nowMs - atMs > ENDED_RETENTION_MS) endedMs.delete(requestId);
      }
      const unowned = reconcileServer(server, active, {
        nowMs,
        askedMs,
        longestRequestMs,
        endedMs,
        isOwned: options.isOwned,
      });
      await Promise.all(unowned.map(async (requestId) => {
        await probe.cancel?.(requestId, call);
        removeForeign(server, requestId);
        pool.options.metrics.increment("admission.reconciled", { pool: pool.name });
      }));
    }
    const events = await probe.cacheEvents?.(server.cacheEventSeq, call).catch(() => []) ?? [];
    for (const { seq, kind, block } of events) {
      // Missing events do no harm, because the index only influences the choice of a server.
      server.cacheEventSeq = Math.max(server.cacheEventSeq, seq);
      if (kind === "evicted") pool.prefixes.evict(serverId, block);
      else pool.prefixes.add(serverId, [block]);
    }
    if (askedMs >= options.completeFromMs) server.isKnown = true;
  } catch (err) {
    if (signal.aborted) return;
    if (isConnectionRefused(err)) scheduler.recordRefusedConnection(serverId);
    log.debug(
      { pool: pool.name, server: serverId, err },
      "Server poll failed; the next poll tries again",
    );
  }
  scheduler.run();
}

/** Whether an error, or one of its causes, is a refused connection. */
function isConnectionRefused(err: unknown): boolean {
  for (let cause = err; cause instanceof Error; cause = cause.cause) {
    if ((cause as NodeJS.ErrnoException).code === "ECONNREFUSED") return true;
  }
  return false;
}
