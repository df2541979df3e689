import type { Clock } from "@jaypass/kernel";
import type { PlatformCounts } from "../platform_types.ts";

/** Counts the requests of the stand-in since the start or the last reset. */
export function createRequestCounts(clock: Clock) {
  const empty = () => ({
    reads: 0,
    writes: 0,
    rowsWritten: 0,
    overBudget: 0,
    conflicts: 0,
    faults: {} as Record<string, number>,
    clients: {} as Record<string, { reads: number; writes: number }>,
  });
  let counts = empty();
  let sinceMs = clock.nowMs();
  return {
    request(client: string, kind: "reads" | "writes"): void {
      counts[kind]++;
      (counts.clients[client] ??= { reads: 0, writes: 0 })[kind]++;
    },
    add(name: "rowsWritten" | "overBudget" | "conflicts", amount = 1): void {
      counts[name] += amount;
    },
    fault(name: string): void {
      counts.faults[name] = (counts.faults[name] ?? 0) + 1;
    },
    reset(): void {
      counts = empty();
      sinceMs = clock.nowMs();
    },
    read(): PlatformCounts {
      const seconds = (clock.nowMs() - sinceMs) / 1_000;
      return {
        ...counts,
        seconds,
        readsPerSecond: counts.reads / seconds,
        writesPerSecond: counts.writes / seconds,
      };
    },
  };
}
