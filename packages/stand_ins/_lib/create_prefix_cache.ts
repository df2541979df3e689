import { PREFIX_BLOCK_TOKENS } from "@jaypass/engines";

/** Memory of an engine: blocks shared by prompts with the same prefix, and private tokens. */
export interface PrefixCache {
  usedTokens(): number;
  /** Number of leading blocks whose KV cache is present. */
  match(blocks: readonly string[]): number;
  /** Takes blocks and private tokens, evicting idle blocks; false when they do not fit. */
  acquire(blocks: readonly string[], privateTokens: number): boolean;
  /** Marks a block as computed, so that later prompts can use it. */
  store(block: string): void;
  /** Gives blocks and private tokens back; computed blocks stay as idle ones. */
  release(blocks: readonly string[], privateTokens: number): void;
}

/** Creates the memory of an engine; `onEvent` is told of stored and evicted blocks. */
export function createPrefixCache(
  memoryTokens: number,
  onEvent: (kind: "stored" | "evicted", block: string) => void,
): PrefixCache {
  const blocksByHash = new Map<string, { holders: number; computed: boolean }>();
  /** Blocks that no request holds, least recently used first. */
  const idle = new Set<string>();
  let used = 0;
  const release = (blocks: readonly string[], privateTokens: number) => {
    used -= privateTokens;
    for (const hash of blocks) {
      const block = blocksByHash.get(hash);
      if (!block || --block.holders > 0) continue;
      if (block.computed) {
        idle.add(hash);
      } else {
        blocksByHash.delete(hash);
        used -= PREFIX_BLOCK_TOKENS;
      }
    }
  };
  const evictOne = () => {
    const [hash] = idle;
    if (hash === undefined) return false;
    idle.delete(hash);
    blocksByHash.delete(hash);
    used -= PREFIX_BLOCK_TOKENS;
    onEvent("evicted", hash);
    return true;
  };
  return {
    usedTokens: () => used,
    match(blocks) {
      const missing = blocks.findIndex((hash) => !blocksByHash.get(hash)?.computed);
      return missing === -1 ? blocks.length : missing;
    },
    acquire(blocks, privateTokens) {
      for (const hash of blocks) {
        const block = blocksByHash.get(hash);
        if (block) {
          block.holders += 1;
          idle.delete(hash);
        } else {
          blocksByHash.set(hash, { holders: 1, computed: false });
          used += PREFIX_BLOCK_TOKENS;
        }
      }
      used += privateTokens;
      const overhang = used - idle.size * PREFIX_BLOCK_TOKENS - memoryTokens;
      if (overhang > 0) {
        release(blocks, privateTokens);
        return false;
      }
      while (used > memoryTokens && evictOne());
      return true;
    },
    store(hash) {
      const block = blocksByHash.get(hash);
      if (!block || block.computed) return;
      block.computed = true;
      onEvent("stored", hash);
    },
    release,
  };
}
