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
      let count = 0;
      while (count < blocks.length && cache.has(blocks[count]!)) count += 1;
      return count * PREFIX_BLOCK_TOKENS;
    },
  };
}
