import type { RandomSource } from "@jaypass/kernel";
import type { FaultChange, FaultSelector, PlatformFaults } from "../platform_types.ts";

/**
 * Creates the injector, which keeps the faults of each client and selects the affected requests.
 */
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
      // Selectors count down in place, so each client needs its own copy.
      if (change.clients === undefined) common = structuredClone(change.faults);
      for (const client of change.clients ?? []) {
        byClient.set(client, structuredClone(change.faults));
      }
    },
    findFaults: (client: string): PlatformFaults => byClient.get(client) ?? common,
    shouldInject(selector: FaultSelector | undefined): boolean {
      if (selector === undefined) return false;
      if (selector.probability !== undefined && random() >= selector.probability) return false;
      if (selector.skip !== undefined && selector.skip > 0) {
        selector.skip--;
        return false;
      }
      if (selector.next === undefined) return true;
      if (selector.next <= 0) return false;
      selector.next--;
      return true;
    },
  };
}
