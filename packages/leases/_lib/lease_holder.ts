import type { LeaseHolder } from "../types.ts";

/** Reports whether both values name the same process. */
export function isSameHolder(a: LeaseHolder | undefined, b: LeaseHolder): boolean {
  return a !== undefined && a.host === b.host && a.incarnation === b.incarnation;
}

/** Reports whether `a` is this process or an earlier one on the same host, which has ended. */
export function isSameOrEarlier(a: LeaseHolder, self: LeaseHolder): boolean {
  return a.host === self.host && a.incarnation <= self.incarnation;
}

/** Returns the key of a process for maps. */
export function holderKey(holder: LeaseHolder): string {
  return `${holder.host} ${holder.incarnation}`;
}
