import { GRANT_OUTCOME } from "@jaypass/admission";
import type { GrantOutcome } from "@jaypass/admission";
import { ENGINE_ERROR_CODE, EngineError } from "@jaypass/engines";
import { RETRY } from "../types.ts";
import type { RetryReason } from "../types.ts";

/** Consequences of a failed attempt for its grant and for a retry. */
export interface AttemptFailure {
  outcome: GrantOutcome;
  retry: RetryReason;
  /** True if the engine may still run the request, so that its stream can be resumed. */
  isResumable: boolean;
}

const FAILURES: Record<string, AttemptFailure> = {
  [ENGINE_ERROR_CODE.REFUSED]: failure(GRANT_OUTCOME.SERVER_REFUSED, RETRY.SERVER_REFUSED),
  [ENGINE_ERROR_CODE.OVERLOADED]: failure(GRANT_OUTCOME.SERVER_REFUSED, RETRY.SERVER_REFUSED),
  [ENGINE_ERROR_CODE.STALE_FENCING]: failure(GRANT_OUTCOME.SERVER_REFUSED, RETRY.SERVER_REFUSED),
  [ENGINE_ERROR_CODE.RESTARTED]: failure(GRANT_OUTCOME.SERVER_RESTARTED, RETRY.SERVER_RESTARTED),
  [ENGINE_ERROR_CODE.DIED]: failure(GRANT_OUTCOME.SERVER_DIED, RETRY.SERVER_DIED),
  [ENGINE_ERROR_CODE.SILENT]: failure(GRANT_OUTCOME.CONNECTION_LOST, RETRY.CONNECTION_LOST, true),
  [ENGINE_ERROR_CODE.CUT]: failure(GRANT_OUTCOME.CONNECTION_LOST, RETRY.CONNECTION_LOST, true),
  [ENGINE_ERROR_CODE.CROSSED]: failure(GRANT_OUTCOME.CONNECTION_LOST, RETRY.ANSWER_INVALID, true),
  [ENGINE_ERROR_CODE.PROTOCOL]: failure(GRANT_OUTCOME.CONNECTION_LOST, RETRY.ANSWER_INVALID, true),
};

function failure(outcome: GrantOutcome, retry: RetryReason, isResumable = false): AttemptFailure {
  return { outcome, retry, isResumable };
}

/**
 * Classifies an error of an engine client.
 *
 * @param err any value thrown by an attempt
 * @returns the classification; an unknown error counts as a lost connection
 */
export function classifyAttemptError(err: unknown): AttemptFailure {
  const classified = err instanceof EngineError ? FAILURES[err.code] : undefined;
  return classified ?? failure(GRANT_OUTCOME.CONNECTION_LOST, RETRY.CONNECTION_LOST);
}
