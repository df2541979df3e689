import { expectedTokens } from "@jaypass/stand_ins";
import type { EngineLog, ServiceLog } from "@jaypass/stand_ins";
import type { CallerOutcome } from "./create_caller.ts";
import type { System } from "./start_system.ts";

/** Answers that a request may end with when it does not get a whole answer. */
const REFUSALS = ["not_run", "unknown", "ran"];

/**
 * Tells what is wrong with an outcome: a whole answer must be the one to its own prompt, anything
 * else must say so and why.
 *
 * @param outcome what the caller saw
 * @param content the prompt as the caller sent it
 * @param maxTokens length of a whole answer
 * @returns the fault, or `undefined`
 */
export function findAnswerError(
  outcome: CallerOutcome,
  content: string,
  maxTokens: number,
): string | undefined {
  const expected = expectedTokens(`user: ${content}\n`, maxTokens);
  const wrong = outcome.tokens.findIndex((token, i) => token !== expected[i]);
  if (wrong >= 0) return `token ${wrong} is "${outcome.tokens[wrong]}"`;
  if (outcome.isComplete) {
    return outcome.tokens.length === maxTokens ? undefined : "cut answer passed off as whole";
  }
  return REFUSALS.includes(outcome.error?.ran ?? "") ? undefined : "ended without a reason";
}

/**
 * Reads the test logs of all engines.
 *
 * @param system the running system
 */
export function readEngineLogs(system: System): Promise<EngineLog[]> {
  return Promise.all(system.engines.map((engine) => system.readLog<EngineLog>(engine.url)));
}

/**
 * Counts the side effects of each idempotency key over all servers of the plain service.
 *
 * @param system the running system
 * @returns runs by key
 */
export async function countEffects(system: System): Promise<Map<string, number>> {
  const counts = new Map<string, number>();
  for (const service of system.services) {
    const log = await system.readLog<ServiceLog>(service.url);
    for (const [key, runs] of Object.entries(log.effects)) {
      counts.set(key, (counts.get(key) ?? 0) + runs.length);
    }
  }
  return counts;
}
