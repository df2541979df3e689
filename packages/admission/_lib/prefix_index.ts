import { LRUCache } from "lru-cache";
import { PREFIX_BLOCK_TOKENS } from "@jaypass/engines";
import { PREFIX_BLOCKS_PER_SERVER } from "../constants.ts";

/** Estimate of the prefix blocks that each server has cached. */
export interface PrefixIndex {
  /** Adds the blocks of a prompt that is granted to a server. */
  add(serverId: string, blocks: readonly string[]): void;
  /** Removes a block that a server has reported as evicted. */
  evict(serverId: string, block: string): void;
  /** Removes all blocks of a server, for example after a crash. */
  clear(serverId: string): void;
  /** Estimates the tokens of the longest prefix that a server has cached. */
  cachedTokens(serverId: string, blocks: readonly string[]): number;
}

/** Creates an empty index with a limited number of blocks per server. */
export function createPrefixIndex(): PrefixIndex {
  const byServer = new Map<string, LRUCache<string, true>>();
  const cacheOf = (serverId: string) => {
    let cache = byServer.get(serverId);
    if (cache === undefined) {
      cache = new LRUCache({ max: PREFIX_BLOCKS_PER_SERVER });
      byServer.set(serverId, cache);
    }
    return cache;
  };
  return {
    add(serverId, blocks) {
      if (blocks.length === 0) return;
      const cache = cacheOf(serverId);
      for (const block of blocks) cache.set(block, true);
    },
    evict: (serverId, block) => void byServer.get(serverId)?.delete(block),
    clear: (serverId) => void byServer.delete(serverId),
    cachedTokens(serverId, blocks) {
      const cache = byServer.get(serverId);
      if (cache === undefined) return 0;
      // Each hash covers all blocks before it, so a binary search finds the longest cached prefix.
      // The estimate is too high when an earlier block was evicted.
      let low = 0;
      let high = blocks.length;
      while (low < high) {
        const middle = (low + high + 1) >> 1;
        if (cache.has(blocks[middle - 1]!)) low = middle;
        else high = middle - 1;
      }
      return low * PREFIX_BLOCK_TOKENS;
    },
  };
}
