import type { LeaseHolder, RelinquishAnswer, RelinquishRequest } from "../types.ts";
import type { ManagedLease } from "./create_lease_rounds.ts";

/** Drops an earlier holding of this process as requested, and answers what that proves. */
export function handleRelinquish(
  request: RelinquishRequest,
  options: { self: LeaseHolder; lease: ManagedLease | undefined },
): RelinquishAnswer {
  const { holder, fencing } = request;
  const { self, lease } = options;
  if (holder.host !== self.host || holder.incarnation > self.incarnation) return "unknown";
  if (holder.incarnation < self.incarnation) return "newer_incarnation";
  // Two holdings never have the same fencing number, so the request does not concern this process.
  if (lease?.state.holding()?.row.fencing === fencing) return "unknown";
  lease?.state.relinquishBelow(fencing);
  lease?.reportChange();
  return "released";
}
