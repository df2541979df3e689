import type { ActiveRequest } from "@jaypass/engines";
import type { Millis } from "@jaypass/kernel";
import { GRANT_DISPATCH_WINDOW_MS } from "../constants.ts";
import { removeForeign, setForeign } from "./server_capacity.ts";
import type { ServerState } from "./server_state.ts";

/** What a reconciliation compares. */
export interface ReconcileOptions {
  nowMs: Millis;
  /** When the list was asked for: it may miss or still show what changed since then. */
  askedMs: Millis;
  /** Longest time for which a live request may own work. */
  longestRequestMs: Millis;
  /** When grants of a request on this server ended, by request id. */
  endedMs: ReadonlyMap<string, Millis>;
  /** Requests that a host has reported as its own lately. */
  isOwned: (requestId: string) => boolean;
}

/**
 * Compares the requests that an engine holds memory for with the accounts.
 *
 * Work that is in no account is counted as foreign. Work that the engine no longer shows is freed.
 *
 * @param server accounts of the engine
 * @param active its list
 * @param options times and owners
 * @returns requests that no live request owns and that should be cancelled on the engine
 */
export function reconcileServer(
  server: ServerState,
  active: readonly ActiveRequest[],
  options: ReconcileOptions,
): string[] {
  const { nowMs, askedMs, endedMs } = options;
  const own = new Set([...server.reservations.values()].map(({ requestId }) => requestId));
  // An engine lists a finished request while its stream can be resumed; it holds no slot any more.
  const holding = active.filter(({ state, tokens }) => state !== "finished" || tokens > 0);
  const listed = new Set(holding.map(({ requestId }) => requestId));
  for (const { requestId, tokens } of holding) {
    if (own.has(requestId) || server.foreign.has(requestId)) continue;
    const ended = endedMs.get(requestId);
    if (ended !== undefined && ended >= askedMs) continue;
    setForeign(server, {
      requestId,
      tokens,
      untilMs: nowMs + options.longestRequestMs,
      addedMs: nowMs,
      isReleased: ended !== undefined,
    });
  }
  for (const work of [...server.foreign.values()]) {
    // A grant of an earlier coordinator may be dispatched until its window ends.
    const mayStillStart = !work.isReleased && askedMs - work.addedMs < GRANT_DISPATCH_WINDOW_MS;
    if (listed.has(work.requestId) || work.addedMs >= askedMs || mayStillStart) continue;
    removeForeign(server, work.requestId);
  }
  return [...server.foreign.values()]
    .filter((work) =>
      !own.has(work.requestId) &&
      (work.isReleased || (work.untilMs <= nowMs && !options.isOwned(work.requestId)))
    )
    .map(({ requestId }) => requestId);
}
