/** State that load reports are created from. */
export interface LoadState {
  running: number;
  usedTokens: number;
  coldUntilMs: number;
}

/**
 * Creates a history of recent states, from which reports read a past state. It needs no timer,
 * which would keep an idle engine busy.
 */
export function createLoadHistory(lagMs: () => number) {
  const history: { atMs: number; state: LoadState }[] = [];
  return {
    add(state: LoadState) {
      const atMs = performance.now();
      history.push({ atMs, state });
      while (history.length > 2 && (history[1]?.atMs ?? atMs) < atMs - lagMs()) history.shift();
    },
    read(): { state: LoadState; ageMs: number } {
      const shownMs = performance.now() - lagMs();
      const shown = history.findLast((entry) => entry.atMs <= shownMs) ?? history[0];
      return {
        state: shown?.state ?? { running: 0, usedTokens: 0, coldUntilMs: 0 },
        ageMs: lagMs(),
      };
    },
  };
}
