/** Shares of a limit as {@linkcode computeAllowance} returns them. */
export interface Allowance {
  /** Part of the limit that the holder may use while its lease is valid. */
  held: number;
  /** Part of the limit that the holder may use after a lapse while the store does not answer. */
  retained: number;
}

/**
 * Computes the holder's part of a limit, without the shares reserved for earlier holders.
 *
 * Each earlier holder is assumed to use half of what the holders before it left over, rounded down.
 * When one of them is removed from the list, the shares assumed for the later ones grow, so that
 * the assumed share of a holder is never smaller than its real share.
 *
 * @param limit the whole limit, a non-negative integer
 * @param retainedCount number of earlier holders that may still use a share
 * @returns the allowance while held and after a lapse
 *
 * @example
 * computeAllowance(4, 1); // { held: 2, retained: 1 }
 */
export function computeAllowance(limit: number, retainedCount: number): Allowance {
  let held = Math.max(0, Math.floor(limit));
  for (let i = 0; i < retainedCount; i++) held -= Math.floor(held / 2);
  return { held, retained: Math.floor(held / 2) };
}
