import type { RandomSource } from "@jaypass/kernel";
import type { FaultChange, FaultSelector, PlatformFaults } from "../platform_types.ts";

/** Keeps the faults of each client and decides which request is hit. */
export function createFaultInjector(random: RandomSource) {
  let common: PlatformFaults = {};
  const byClient = new Map<string, PlatformFaults>();
  return {
    change(change: FaultChange): void {
      if (change.reset) {
        common = {};
        byClient.clear();
      }
      if (change.faults === undefined) return;
      // Shares count down while they are used, so each client gets a copy.
      if (change.clients === undefined) common = structuredClone(change.faults);
      for (const client of change.clients ?? []) {
        byClient.set(client, structuredClone(change.faults));
      }
    },
    faultsOf: (client: string): PlatformFaults => byClient.get(client) ?? common,
    isHit(share: FaultSelector | undefined): boolean {
      if (share === undefined) return false;
      if (share.probability !== undefined && random() >= share.probability) return false;
      if (share.skip !== undefined && share.skip > 0) {
        share.skip--;
        return false;
      }
      if (share.next === undefined) return true;
      if (share.next <= 0) return false;
      share.next--;
      return true;
    },
  };
}
