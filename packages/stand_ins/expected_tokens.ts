import { hashPrompt, tokenAt } from "./_lib/token_at.ts";

/**
 * Computes the answer of every engine stand-in to a prompt.
 *
 * The answer depends only on the prompt, so that a test can verify a complete answer even if
 * several engines generated parts of it.
 *
 * @param prompt text of the prompt
 * @param count number of tokens
 * @returns texts of the tokens
 *
 * @example
 * t.deepEqual(received, expectedTokens(prompt, 20));
 */
export function expectedTokens(prompt: string, count: number): string[] {
  const digest = hashPrompt(prompt);
  return Array.from({ length: count }, (_, index) => tokenAt(digest, index));
}
