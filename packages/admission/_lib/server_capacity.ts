import type { Millis } from "@jaypass/kernel";
import { LOST_CONNECTION_PAUSE_MS } from "../constants.ts";
import type { ForeignWork, Reservation, ServerState } from "./server_state.ts";

/** The part of a limit that this coordinator may use, as `Lease.allow` tells. */
export type AllowedLimit = (limit: number) => number;

/**
 * Tells how much of a limit is free.
 *
 * Work that others granted counts against the part of the limit that is not allowed to this
 * coordinator first: an earlier holder with a retained share runs its work inside that share.
 */
function free(limit: number, own: number, foreign: number, allow: AllowedLimit): number {
  return limit - own - Math.max(foreign, limit - allow(limit));
}

/** Counts the requests that may still be granted on a server. */
export function freeSlots(server: ServerState, allow: AllowedLimit): number {
  return free(server.limit, server.reservations.size, server.foreign.size, allow);
}

/** Counts the tokens of memory that may still be granted; unlimited for a plain service. */
export function freeTokens(server: ServerState, allow: AllowedLimit): number {
  if (server.cfg.memoryTokens === 0) return Infinity;
  return free(server.cfg.memoryTokens, server.grantedTokens, server.foreignTokens, allow);
}

/** Whether a server may get grants: in service, its running work known, and not suspected dead. */
export function isUsable(server: ServerState, nowMs: Millis): boolean {
  return server.isOpen && server.isKnown &&
    !server.lostConnections.some(({ atMs }) => nowMs - atMs < LOST_CONNECTION_PAUSE_MS);
}

/** Adds a reservation. */
export function reserve(server: ServerState, reservation: Reservation): void {
  server.reservations.set(reservation.grantId, reservation);
  server.grantedTokens += reservation.tokens;
}

/** Removes a reservation; unknown ones are ignored. */
export function unreserve(server: ServerState, grantId: string): Reservation | undefined {
  const found = server.reservations.get(grantId);
  if (found === undefined) return undefined;
  server.reservations.delete(grantId);
  server.grantedTokens -= found.tokens;
  return found;
}

/** Adds or replaces work that this coordinator did not grant. */
export function setForeign(server: ServerState, work: ForeignWork): void {
  removeForeign(server, work.requestId);
  server.foreign.set(work.requestId, work);
  server.foreignTokens += work.tokens;
}

/** Removes foreign work; unknown work is ignored. */
export function removeForeign(server: ServerState, requestId: string): void {
  const found = server.foreign.get(requestId);
  if (found === undefined) return;
  server.foreign.delete(requestId);
  server.foreignTokens -= found.tokens;
}
