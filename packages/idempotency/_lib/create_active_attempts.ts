/** Creates the set of attempts that still have running work in this process. */
export function createActiveAttempts() {
  const counts = new Map<string, number>();
  return {
    has: (attempt: string) => counts.has(attempt),
    /** Registers work of an attempt; returns the function to call when the work has ended. */
    track(attempt: string): () => void {
      counts.set(attempt, (counts.get(attempt) ?? 0) + 1);
      return () => {
        const count = counts.get(attempt)! - 1;
        if (count > 0) counts.set(attempt, count);
        else counts.delete(attempt);
      };
    },
  };
}

/** Attempts that still have running work in this process. */
export type ActiveAttempts = ReturnType<typeof createActiveAttempts>;
