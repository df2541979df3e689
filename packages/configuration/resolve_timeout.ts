import { DateTime } from "luxon";
import type { Millis } from "@jaypass/kernel";
import { ConfigurationError } from "./errors.ts";
import type { ConfigDocument, HourTimeout } from "./types.ts";

function isInSpan(hour: number, { fromHour, toHour }: HourTimeout): boolean {
  return fromHour < toHour ? hour >= fromHour && hour < toHour : hour >= fromHour || hour < toHour;
}

/**
 * Finds the timeout of a caller kind at a point in time, by the local hour in its time zone.
 *
 * When clocks go back, the timeout of the repeated hour applies twice; when they go forward, that
 * of the skipped hour does not apply.
 *
 * @param document a valid document
 * @param callerKind key of the section `timeouts`
 * @param wallMs wall time in milliseconds since the Unix epoch
 * @returns the timeouts that apply, with the hours for which they hold
 * @throws {ConfigurationError} when the document has no timeouts for the caller kind
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
