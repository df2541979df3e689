import type { Millis } from "@jaypass/kernel";
import type { EngineProfile } from "./types.ts";

/**
 * Computes how long a pass of an engine lasts that reads nothing.
 *
 * @param writers requests that write
 * @param contextTokens tokens of their prompts together
 * @param profile cost figures of the engine
 * @returns milliseconds, which is the pause between two events of each writer
 *
 * @example
 * computePassMs(4, 20_000, profile); // about 46
 */
export function computePassMs(
  writers: number,
  contextTokens: number,
  profile: EngineProfile,
): Millis {
  const stepMs = profile.stepMs + writers * profile.perWriterMs +
    contextTokens / 1_000 * profile.contextMsPerThousand;
  return stepMs * profile.stepsPerPass;
}
