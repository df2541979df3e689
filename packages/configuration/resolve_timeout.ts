import { DateTime } from "luxon";
import type { Millis } from "@jaypass/kernel";
import type { ConfigDocument, HourTimeout } from "./types.ts";

function isInSpan(hour: number, { fromHour, toHour }: HourTimeout): boolean {
  return fromHour < toHour ? hour >= fromHour && hour < toHour : hour >= fromHour || hour < toHour;
}

/**
 * Finds how long a kind of caller waits at a moment, by the local hour in its time zone.
 *
 * The hour is that of the local clock: when clocks go back, the repeated hour has the same timeout
 * twice; when they go forward, the skipped hour does not occur.
 *
 * @param document a checked document
 * @param callerKind kind of the caller; the kind `default` stands in for an unknown one
 * @param wallMs wall time in milliseconds since the Unix epoch
 * @returns the timeout, or `undefined` when neither the kind nor `default` exists
 *
 * @example
 * const timeout = resolveTimeout(configuration.document(), "parent", clock.wallMs());
 */
export function resolveTimeout(
  document: Readonly<ConfigDocument>,
  callerKind: string,
  wallMs: Millis,
): HourTimeout | undefined {
  const kind = Object.hasOwn(document.timeouts, callerKind) ? callerKind : "default";
  const table = Object.hasOwn(document.timeouts, kind) ? document.timeouts[kind] : undefined;
  if (table === undefined) return undefined;
  const { hour } = DateTime.fromMillis(wallMs, { zone: table.timeZone });
  return table.hours.find((span) => isInSpan(hour, span));
}
