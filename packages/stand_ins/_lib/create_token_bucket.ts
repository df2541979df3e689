import type { Clock, Millis } from "@jaypass/kernel";

/** Creates a token bucket that holds at most one second of its rate. */
export function createTokenBucket(ratePerSecond: number, clock: Clock) {
  let rate = ratePerSecond;
  let tokens = ratePerSecond;
  let lastMs = clock.nowMs();
  const refill = () => {
    const nowMs = clock.nowMs();
    tokens = Math.min(rate, tokens + (nowMs - lastMs) / 1_000 * rate);
    lastMs = nowMs;
  };
  return {
    setRate(next: number) {
      refill();
      rate = next;
      tokens = Math.min(tokens, rate);
    },
    /** Takes an amount if the bucket holds it. */
    take(amount: number): boolean {
      refill();
      if (tokens < amount) return false;
      tokens -= amount;
      return true;
    },
    /** Takes an amount that may exceed the bucket; returns the milliseconds to wait when refused. */
    reserve(amount: number): Millis {
      refill();
      if (tokens <= 0) return Math.ceil(-tokens / rate * 1_000) + 1;
      tokens -= amount;
      return 0;
    },
  };
}
