import { ANSWER_TOKEN_WEIGHT } from "./constants.ts";
import type { PlacementJob } from "./types.ts";

/**
 * Computes the weight of a request against others: its size, in which a token of the answer counts
 * for several tokens of the prompt.
 *
 * @param job the request
 * @returns a positive weight in prompt tokens
 *
 * @example
 * computeWeight(job); // 18_000 for 5,000 tokens in and 1,300 out
 */
export function computeWeight(
  job: Pick<PlacementJob, "promptTokens" | "answerTokens">,
): number {
  return 1 + job.promptTokens + ANSWER_TOKEN_WEIGHT * job.answerTokens;
}
