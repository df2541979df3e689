import { DateTime } from "luxon";
import type { Millis } from "@jaypass/kernel";
import { ConfigurationError } from "./errors.ts";
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
 * @param callerKind kind of the caller
 * @param wallMs wall time in milliseconds since the Unix epoch
 * @returns the timeout
 * @throws {ConfigurationError} when the kind is not in the document
 *
 * @example
 * const { timeoutMs } = resolveTimeout(configuration.document(), "parent", clock.wallMs());
 */
export function resolveTimeout(
  document: Readonly<ConfigDocument>,
  callerKind: string,
  wallMs: Millis,
): HourTimeout {
  const isKnown = Object.hasOwn(document.timeouts, callerKind);
  const table = isKnown ? document.timeouts[callerKind] : undefined;
  const { hour } = DateTime.fromMillis(wallMs, { zone: table?.timeZone });
  const span = table?.hours.find((candidate) => isInSpan(hour, candidate));
  if (span === undefined) {
    throw new ConfigurationError(`No timeout for caller kind "${callerKind}"`);
  }
  return span;
}
