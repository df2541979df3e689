import type { RandomSource } from "@jaypass/kernel";
import type { HostEntry } from "@jaypass/fleet";
import { MAX_DIRECTORY_ADDRESSES } from "./constants.ts";

/**
 * Chooses the addresses that the directory returns: all live hosts, or a random subset of many.
 *
 * @param hosts live hosts
 * @param random source of random numbers
 * @returns at most `MAX_DIRECTORY_ADDRESSES` addresses in random order
 *
 * @example
 * chooseAddresses(hosts, Math.random); // ["10.1.0.40:8227"]
 */
export function chooseAddresses(hosts: readonly HostEntry[], random: RandomSource): string[] {
  return hosts
    .map((entry) => ({ entry, order: random() }))
    .sort((a, b) => a.order - b.order)
    .slice(0, MAX_DIRECTORY_ADDRESSES)
    .map(({ entry }) => entry.callerAddress);
}
