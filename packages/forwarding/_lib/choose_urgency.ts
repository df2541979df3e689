import { URGENCY_STEPS } from "../constants.ts";

/**
 * Chooses the urgency of a prompt among the requests that wait at an engine: shorter ones first.
 *
 * @param promptTokens tokens of the prompt; 0 for plain services
 * @returns 0 to 9, 0 first; undefined for plain services
 *
 * @example
 * chooseUrgency(5_000); // 2
 */
export function chooseUrgency(promptTokens: number): number | undefined {
  if (promptTokens === 0) return undefined;
  return URGENCY_STEPS.find((step) => promptTokens <= step.maxTokens)?.urgency;
}
