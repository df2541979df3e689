import type { CacheEvent } from "@jaypass/engines";

/** Maximum number of cache events that are kept; the older half is dropped above it. */
const MAX_EVENTS = 20_000;

/** Creates the log of an engine's cache events, which are published with a lag and can be lost. */
export function createCacheEventLog(lagMs: () => number, lossEvery: () => number) {
  let events: (CacheEvent & { atMs: number })[] = [];
  let seq = 0;
  return {
    add(kind: CacheEvent["kind"], block: string) {
      seq += 1;
      // A lost event still uses its sequence number, so that readers can detect the gap.
      if (lossEvery() > 0 && seq % lossEvery() === 0) return;
      events.push({ seq, kind, block, atMs: performance.now() });
      if (events.length > MAX_EVENTS) events = events.slice(MAX_EVENTS / 2);
    },
    read(afterSeq: number): CacheEvent[] {
      const latestMs = performance.now() - lagMs();
      return events
        .filter((event) => event.seq > afterSeq && event.atMs <= latestMs)
        .map(({ seq, kind, block }) => ({ seq, kind, block }));
    },
    reset() {
      events = [];
      seq = 0;
    },
  };
}
