import { URGENCY_STEPS } from "../constants.ts";

/**
 * Chooses the scheduling urgency of a prompt at its engine; shorter prompts are more urgent.
 *
 * @param promptTokens length of the prompt in tokens; 0 for plain services
 * @returns 0 to 9, 0 being the most urgent; undefined for plain services
 *
 * @example
 * chooseUrgency(5_000); // 2
 */
export function chooseUrgency(promptTokens: number): number | undefined {
  if (promptTokens === 0) return undefined;
  return URGENCY_STEPS.find((step) => promptTokens <= step.maxTokens)?.urgency;
}
