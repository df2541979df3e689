/** Creates the set of attempts that still have work in this process. */
export function createActiveAttempts() {
  const counts = new Map<string, number>();
  return {
    has: (attempt: string) => counts.has(attempt),
    /** Adds a piece of work of an attempt and returns the function that ends it. */
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

/** Attempts that still have work in this process. */
export type ActiveAttempts = ReturnType<typeof createActiveAttempts>;
