import type { ForwardingHostSettings } from "./types.ts";

/**
 * Takes over changed settings that can change while the host runs: the limits. Addresses and names
 * are those of the process and change with its next start.
 *
 * @param current settings in use, changed in place
 * @param next settings as they are now
 * @returns names of settings that differ and wait for the next start
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
  return Object.keys(next).filter((name) => {
    const key = name as keyof ForwardingHostSettings;
    return typeof next[key] !== "object" && next[key] !== current[key];
  });
}
