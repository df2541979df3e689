import { LRUCache } from "lru-cache";
import { PREFIX_BLOCK_TOKENS } from "@jaypass/engines";
import { PREFIX_BLOCKS_PER_SERVER } from "../constants.ts";

/** Which server probably caches which prefix blocks. */
export interface PrefixIndex {
  /** Remembers the blocks of a prompt that a server gets. */
  add(serverId: string, blocks: readonly string[]): void;
  /** Corrects the index by an eviction that a server published. */
  evict(serverId: string, block: string): void;
  /** Forgets a server's blocks, for example after a restart. */
  clear(serverId: string): void;
  /** Tokens of the longest prefix that a server probably caches. */
  cachedTokens(serverId: string, blocks: readonly string[]): number;
}

/** Creates an index that is bounded per server. */
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
      // Each hash covers all blocks before it, so the longest cached one is found by bisection. Where
      // an earlier block was evicted the estimate is too high,.
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
