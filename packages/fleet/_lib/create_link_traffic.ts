import type { Metrics } from "@jaypass/kernel";

/** Direction of a message on a link, as this host sees it. */
export type LinkDirection = "sent" | "received";

/** The bytes of a host's links by kind of message. */
export interface LinkTraffic {
  /** Counts an encoded message. */
  count(message: unknown, direction: LinkDirection, line: string): void;
  /** Passes what was counted on to the metrics. */
  flush(): void;
}

/**
 * Creates a counter of the bytes on links. It sums them by kind, so that a message costs one addition
 * and the metrics are called once an interval.
 *
 * @param metrics receives `link_bytes{kind,direction}`
 * @returns the counter
 *
 * @example
 * const traffic = createLinkTraffic(metrics);
 * traffic.count(message, "sent", line);
 */
export function createLinkTraffic(metrics: Pick<Metrics, "increment">): LinkTraffic {
  const totals: Record<LinkDirection, Map<string, number>> = {
    sent: new Map(),
    received: new Map(),
  };
  return {
    count(message, direction, line) {
      const kind = describeKind(message);
      const known = totals[direction];
      known.set(kind, (known.get(kind) ?? 0) + Buffer.byteLength(line));
    },
    flush() {
      for (const [direction, known] of Object.entries(totals)) {
        for (const [kind, bytes] of known) {
          metrics.increment("link_bytes", { kind, direction }, bytes);
        }
        known.clear();
      }
    },
  };
}

/** Returns the type of a message, with the kind of a report or the table of rows. */
function describeKind(message: unknown): string {
  const { type, report, table } = message as { type: string; report?: unknown; table?: string };
  if (type === "rows") return `rows_${table}`;
  const { kind } = (report ?? {}) as { kind?: string };
  return kind === undefined ? type : `report_${kind}`;
}
