import type { Clock, RandomSource } from "@jaypass/kernel";

/** Options of {@linkcode createIncarnation}. */
export interface IncarnationOptions {
  clock: Clock;
  random: RandomSource;
}

/** Digits of the wall time in base 36; enough until the year 5188. */
const TIME_DIGITS = 9;

/**
 * Creates the incarnation of this process, which sorts after those of earlier processes.
 *
 * The order relies on the wall clock not going back across a restart; the counter
 * `membership_incarnation_conflict` reports a host whose clock did.
 *
 * @param options wall clock and random numbers
 * @returns the incarnation
 *
 * @example
 * const incarnation = createIncarnation({ clock, random: Math.random });
 */
export function createIncarnation(options: IncarnationOptions): string {
  const time = Math.floor(options.clock.wallMs()).toString(36).padStart(TIME_DIGITS, "0");
  return `${time}-${Math.floor(options.random() * 36 ** 4).toString(36)}`;
}
