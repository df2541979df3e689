import type { Clock, Millis } from "@jaypass/kernel";

/** Creates the list of hosts, which shows each change after a lag. */
export function createHostListState(clock: Clock, lagMs: Millis) {
  const changes: { id: string; host: unknown; atMs: Millis }[] = [];
  const visible = new Map<string, unknown>();
  return {
    list(): unknown[] {
      const untilMs = clock.nowMs() - lagMs;
      while (changes[0] !== undefined && changes[0].atMs <= untilMs) {
        const change = changes.shift()!;
        if (change.host === undefined) visible.delete(change.id);
        else visible.set(change.id, change.host);
      }
      return [...visible.values()];
    },
    put: (id: string, host: unknown) => void changes.push({ id, host, atMs: clock.nowMs() }),
    remove: (id: string) => void changes.push({ id, host: undefined, atMs: clock.nowMs() }),
  };
}
