import type { Millis } from "@jaypass/kernel";
import type { EngineProfile } from "./types.ts";

/**
 * Computes the duration of an engine pass without prefill. In a pass, an engine runs several decode
 * steps and sends one event for each decoding request.
 *
 * @param decoding number of decoding requests
 * @param contextTokens total prompt tokens of these requests
 * @param profile cost model of the engine
 * @returns milliseconds, which is the pause between two events of each decoding request
 *
 * @example
 * computePassMs(4, 20_000, profile); // about 46
 */
export function computePassMs(
  decoding: number,
  contextTokens: number,
  profile: EngineProfile,
): Millis {
  const stepMs = profile.stepMs + decoding * profile.perWriterMs +
    contextTokens / 1_000 * profile.contextMsPerThousand;
  return stepMs * profile.stepsPerPass;
}
