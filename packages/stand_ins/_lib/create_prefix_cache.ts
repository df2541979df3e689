import { PREFIX_BLOCK_TOKENS } from "@jaypass/engines";

/** KV cache of an engine: blocks shared by prompts with the same prefix, and private tokens. */
export interface PrefixCache {
  usedTokens(): number;
  /** Returns the number of leading blocks that are cached. */
  match(blocks: readonly string[]): number;
  /**
   * Allocates blocks and private tokens, evicting idle blocks; returns false if they do not fit.
   */
  acquire(blocks: readonly string[], privateTokens: number): boolean;
  /** Marks a block as computed, so that later prompts can use it. */
  store(block: string): void;
  /** Releases blocks and private tokens; computed blocks stay cached as idle ones. */
  release(blocks: readonly string[], privateTokens: number): void;
}

/** Creates the KV cache of an engine; `onEvent` is called for stored and evicted blocks. */
export function createPrefixCache(
  memoryTokens: number,
  onEvent: (kind: "stored" | "evicted", block: string) => void,
): PrefixCache {
  const blocksByHash = new Map<string, { refCount: number; computed: boolean }>();
  /** Blocks that no request holds, least recently used first. */
  const idle = new Set<string>();
  let used = 0;
  const release = (blocks: readonly string[], privateTokens: number) => {
    used -= privateTokens;
    for (const hash of blocks) {
      const block = blocksByHash.get(hash);
      if (!block || --block.refCount > 0) continue;
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
          block.refCount += 1;
          idle.delete(hash);
        } else {
          blocksByHash.set(hash, { refCount: 1, computed: false });
          used += PREFIX_BLOCK_TOKENS;
        }
      }
      used += privateTokens;
      const excessTokens = used - idle.size * PREFIX_BLOCK_TOKENS - memoryTokens;
      if (excessTokens > 0) {
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
