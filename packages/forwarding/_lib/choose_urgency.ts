import { comparePriorities } from "../compare_priorities.ts";
import { URGENCY_LEVELS, URGENCY_STEPS } from "../constants.ts";
import type { RequestPriority } from "../types.ts";

/**
 * Chooses the scheduling urgency of a prompt at its engine; shorter prompts are more urgent. Where the
 * routes of a service have different priorities, the levels are divided among the priorities, and the
 * length decides within each.
 *
 * @param promptTokens length of the prompt in tokens; 0 for plain services
 * @param own priority of the request
 * @param all priorities of the service, the most urgent first; undefined where its routes have the
 * same one
 * @returns 0 to 9, 0 being the most urgent; undefined for plain services
 *
 * @example
 * chooseUrgency(5_000); // 2
 */
export function chooseUrgency(
  promptTokens: number,
  own?: RequestPriority,
  all?: readonly RequestPriority[],
): number | undefined {
  if (promptTokens === 0) return undefined;
  const step = URGENCY_STEPS.findIndex(({ maxTokens }) => promptTokens <= maxTokens);
  if (own === undefined || all === undefined) return URGENCY_STEPS[step]?.urgency;
  // A configuration that has changed since the request arrived may lack its priority.
  const rank = all.filter((other) => comparePriorities(other, own) < 0).length;
  const position = rank * URGENCY_STEPS.length + step;
  const level = Math.floor(position * URGENCY_LEVELS / (all.length * URGENCY_STEPS.length));
  return Math.min(URGENCY_LEVELS - 1, level);
}
