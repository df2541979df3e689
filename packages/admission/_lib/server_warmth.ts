import type { Millis } from "@jaypass/kernel";
import type { ServerState } from "./server_state.ts";

/** Lowers the limit of a server to its cold limit at once. */
export function markCold(server: ServerState, nowMs: Millis): void {
  server.warmth = "cold";
  server.limit = Math.min(server.cfg.coldLimit, server.cfg.warmLimit);
  server.successes = 0;
  server.firstReportMs = undefined;
  server.coldSinceMs = nowMs;
}

/** Raises the limit of a server to its warm limit, on the word of a fresh load report. */
export function markWarm(server: ServerState, nowMs: Millis): void {
  server.warmth = "warm";
  server.limit = server.cfg.warmLimit;
  server.warmSinceMs = nowMs;
}

/**
 * Counts a success; a window of as many successes as the limit doubles the limit.
 *
 * Requests granted before the server turned cold do not count: they prove nothing about it now.
 * Neither do successes while the server itself reports that it is cold: within its cold limit it
 * answers well, and one request above may make it fall over.
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
