import type { ActiveRequest } from "@jaypass/engines";
import type { Millis } from "@jaypass/kernel";
import { GRANT_DISPATCH_WINDOW_MS } from "../constants.ts";
import { removeForeign, setForeign } from "./server_capacity.ts";
import type { ServerState } from "./server_state.ts";

/** Options of {@linkcode reconcileServer}. */
export interface ReconcileOptions {
  nowMs: Millis;
  /** Monotonic time at which the list was requested; later changes may be missing from it. */
  askedMs: Millis;
  /** Longest time for which a request may run. */
  longestRequestMs: Millis;
  /** When the grants of requests on this server ended, by request id. */
  endedMs: ReadonlyMap<string, Millis>;
  /** Whether a host holds a grant of the request. */
  isOwned: (requestId: string) => boolean;
}

/**
 * Compares the requests that an engine holds memory for with the coordinator's state of the engine.
 *
 * Requests that the state does not contain are added as foreign work. Foreign work that the engine
 * no longer lists is removed.
 *
 * @param server state of the engine
 * @param active the engine's list of active requests
 * @param options times and owners
 * @returns ids of requests without an owner, which should be cancelled on the engine
 */
export function reconcileServer(
  server: ServerState,
  active: readonly ActiveRequest[],
  options: ReconcileOptions,
): string[] {
  const { nowMs, askedMs, endedMs } = options;
  const own = new Set([...server.reservations.values()].map(({ requestId }) => requestId));
  // An engine lists a finished request while its stream can be resumed, but it no longer uses a
  // slot.
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
    // A grant of an earlier coordinator may be dispatched until its dispatch window ends.
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
