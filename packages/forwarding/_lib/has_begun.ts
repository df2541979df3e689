import type { AnswerHandler } from "./attempt.ts";

/**
 * Reports whether the caller has a part of the answer. Such a stream goes on during a stop, since its
 * caller cannot start it again.
 */
export function hasBegun(handler: Pick<AnswerHandler, "resumeAfter">): boolean {
  return handler.resumeAfter() !== undefined;
}
