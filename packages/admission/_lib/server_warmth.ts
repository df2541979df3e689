import type { Millis } from "@jaypass/kernel";
import type { ServerState } from "./server_state.ts";

/** Marks a server as cold, which lowers its limit to the cold limit at once. */
export function markCold(server: ServerState, nowMs: Millis): void {
  server.warmth = "cold";
  server.limit = Math.min(server.cfg.coldLimit, server.cfg.warmLimit);
  server.successes = 0;
  server.firstReportMs = undefined;
  server.coldSinceMs = nowMs;
}

/** Marks a server as warm, which raises its limit to the warm limit. */
export function markWarm(server: ServerState, nowMs: Millis): void {
  server.warmth = "warm";
  server.limit = server.cfg.warmLimit;
  server.warmSinceMs = nowMs;
}

/**
 * Counts a successful request. As many successes as the server's limit double the limit.
 *
 * Requests granted before the server was marked as cold do not count, because they do not show its
 * present state. Neither do successes while the server reports that it is cold: it answers well
 * within its cold limit, but a single request more may make it fail.
 */
export function countSuccess(server: ServerState, grantedMs: Millis, nowMs: Millis): void {
  if (server.warmth === "warm" || grantedMs < server.coldSinceMs) return;
  if (server.warmReportMs === undefined || server.warmReportMs < server.coldSinceMs) return;
  server.successes += 1;
  if (server.successes < server.limit) return;
  server.successes = 0;
  server.limit = Math.min(server.cfg.warmLimit, Math.max(1, server.limit) * 2);
  if (server.limit >= server.cfg.warmLimit) markWarm(server, nowMs);
  else server.warmth = "warming";
}
