import type { LeaseHolder, RelinquishAnswer, RelinquishRequest } from "../types.ts";
import type { ManagedLease } from "./create_lease_rounds.ts";

/** Drops an older holding as asked and says what that proves about the asked process. */
export function handleRelinquish(
  request: RelinquishRequest,
  options: { self: LeaseHolder; member: ManagedLease | undefined },
): RelinquishAnswer {
  const { holder, fencing } = request;
  const { self, member } = options;
  if (holder.host !== self.host || holder.incarnation > self.incarnation) return "unknown";
  if (holder.incarnation < self.incarnation) return "newer_incarnation";
  // Two holdings never share a fencing number, so the question cannot concern this one.
  if (member?.state.holding()?.row.fencing === fencing) return "unknown";
  member?.state.relinquishBelow(fencing);
  member?.reportChange();
  return "released";
}
