import type { Millis } from "@jaypass/kernel";

/**
 * Computes until when a stopping host may send a request to a server, so that the answer is not cut
 * off by the end of the host.
 *
 * @param request deadline on the monotonic clock, and the time that the answer takes
 * @param hostEndMs monotonic time at which the host ends
 * @returns monotonic time; `Infinity` for a request whose deadline is before the end of the host
 *
 * @example
 * computeLatestStartMs({ endMs: 12_000, answerMs: 5_000 }, 7_500); // 2,500
 */
export function computeLatestStartMs(
  request: { endMs: Millis; answerMs: Millis },
  hostEndMs: Millis,
): Millis {
  return request.endMs <= hostEndMs ? Infinity : hostEndMs - request.answerMs;
}
