import { hash } from "node:crypto";
import { PREFIX_BLOCK_TOKENS } from "./constants.ts";

/**
 * Hashes the leading blocks of a prompt, each together with all blocks before it.
 *
 * Two prompts share the first `n` hashes if and only if they share the first `n` blocks. An
 * incomplete last block has no hash, because engines cache full blocks only.
 *
 * @param prompt text of the prompt
 * @param bytesPerToken average number of bytes per token, as configured for the model
 * @returns hashes in hex, shortest prefix first
 *
 * @example
 * const blocks = hashPrefixBlocks(prompt, 4);
 */
export function hashPrefixBlocks(prompt: string, bytesPerToken: number): string[] {
  const bytes = Buffer.from(prompt, "utf8");
  const blockBytes = Math.max(1, Math.round(PREFIX_BLOCK_TOKENS * bytesPerToken));
  const blocks: string[] = [];
  let previous = "";
  for (let end = blockBytes; end <= bytes.length; end += blockBytes) {
    const content = hash("sha256", bytes.subarray(end - blockBytes, end), "hex");
    previous = hash("sha256", previous + content, "hex").slice(0, 32);
    blocks.push(previous);
  }
  return blocks;
}
