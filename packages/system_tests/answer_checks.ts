import { expectedTokens } from "@jaypass/stand_ins";
import type { EngineLog, ServiceLog } from "@jaypass/stand_ins";
import type { CallerOutcome } from "./create_caller.ts";
import type { System } from "./start_system.ts";

/** Values of `ran` that a request without a complete answer may end with. */
const REFUSALS = ["not_run", "unknown", "ran"];

/**
 * Checks the outcome of a request. A complete answer must belong to the prompt that was sent; any other
 * outcome must be an error that tells whether the request ran.
 *
 * @param outcome outcome as the caller received it
 * @param content the prompt as the caller sent it
 * @param maxTokens length of a complete answer, in tokens
 * @returns description of the error, or `undefined` when the outcome is valid
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
    return outcome.tokens.length === maxTokens ? undefined : "truncated answer marked as complete";
  }
  return REFUSALS.includes(outcome.error?.ran ?? "")
    ? undefined
    : "error does not tell whether the request ran";
}

/**
 * Reads the test logs of all engines of a system.
 *
 * @param system the running system
 * @returns a log for each engine, in the order of `system.engines`
 */
export function readEngineLogs(system: System): Promise<EngineLog[]> {
  return Promise.all(system.engines.map((engine) => system.readLog<EngineLog>(engine.url)));
}

/**
 * Counts how often each idempotency key was executed, over all servers of the plain service.
 *
 * @param system the running system
 * @returns number of executions by `workspace/key`
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
