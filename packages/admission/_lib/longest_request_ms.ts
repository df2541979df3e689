import type { ConfigDocument } from "@jaypass/configuration";
import type { Millis } from "@jaypass/kernel";

/** Longest duration of a request when the configuration sets no timeouts. */
const DEFAULT_LONGEST_REQUEST_MS = 900_000;

/** Longest time for which a request may run, over all caller kinds and hours. */
export function longestRequestMs(document: Readonly<ConfigDocument>): Millis {
  const timeouts = Object.values(document.timeouts).flatMap(({ hours }) =>
    hours.map(({ timeoutMs }) => timeoutMs)
  );
  return timeouts.length === 0 ? DEFAULT_LONGEST_REQUEST_MS : Math.max(...timeouts);
}
