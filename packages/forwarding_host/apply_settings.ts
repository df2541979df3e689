import type { ForwardingHostSettings } from "./types.ts";

/**
 * Applies changed settings to a running host. Limits and times can change while it runs; addresses,
 * names and the share of processors take effect at the next start of the process. The window of the
 * retry limit is read at the first use of a service, so that a later change of it has no effect.
 *
 * @param current settings in use, which are updated in place
 * @param next newly read settings
 * @returns names of changed settings that take effect at the next start
 *
 * @example
 * const waiting = applySettings(settings, next);
 */
export function applySettings(
  current: ForwardingHostSettings,
  next: ForwardingHostSettings,
): string[] {
  Object.assign(current.retryLimits, next.retryLimits);
  Object.assign(current.coldLimits, next.coldLimits);
  if (next.hedge === undefined) delete current.hedge;
  else current.hedge = next.hedge;
  current.stopGraceMs = next.stopGraceMs;
  current.maxDirectoryTtlMs = next.maxDirectoryTtlMs;
  return Object.keys(next).filter((name) => {
    const key = name as keyof ForwardingHostSettings;
    return typeof next[key] !== "object" && next[key] !== current[key];
  });
}
