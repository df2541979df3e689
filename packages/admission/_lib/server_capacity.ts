import type { Millis } from "@jaypass/kernel";
import { LOST_CONNECTION_PAUSE_MS } from "../constants.ts";
import type { ForeignWork, Reservation, ServerState } from "./server_state.ts";

/**
 * Returns the part of a limit that this coordinator may use at present. It is not the whole limit
 * while its lease has lapsed, or while an earlier holder retains a share (`Lease.allow`).
 */
export type AllowedLimit = (limit: number) => number;

/**
 * Computes how much of a limit is free.
 *
 * Foreign work first uses the part of the limit that the lease does not allow to this coordinator,
 * because an earlier lease holder with a retained share runs its requests within that share.
 */
function free(limit: number, own: number, foreign: number, allowedLimit: AllowedLimit): number {
  return limit - own - Math.max(foreign, limit - allowedLimit(limit));
}

/** Counts the requests that may still be granted on a server. */
export function freeSlots(server: ServerState, allowedLimit: AllowedLimit): number {
  return free(server.limit, server.reservations.size, server.foreign.size, allowedLimit);
}

/** Counts the tokens of memory that may still be granted; unlimited for a plain service. */
export function freeTokens(server: ServerState, allowedLimit: AllowedLimit): number {
  if (server.cfg.memoryTokens === 0) return Infinity;
  return free(server.cfg.memoryTokens, server.grantedTokens, server.foreignTokens, allowedLimit);
}

/** Whether a server may get grants: in service, its running work known, no connection just lost. */
export function isUsable(server: ServerState, nowMs: Millis): boolean {
  return server.isOpen && server.isKnown &&
    !server.lostConnections.some(({ atMs }) => nowMs - atMs < LOST_CONNECTION_PAUSE_MS);
}

/** Adds a reservation. */
export function reserve(server: ServerState, reservation: Reservation): void {
  server.reservations.set(reservation.grantId, reservation);
  server.grantedTokens += reservation.tokens;
}

/** Removes a reservation; an unknown grant is ignored. */
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

/** Removes foreign work; an unknown request is ignored. */
export function removeForeign(server: ServerState, requestId: string): void {
  const found = server.foreign.get(requestId);
  if (found === undefined) return;
  server.foreign.delete(requestId);
  server.foreignTokens -= found.tokens;
}
