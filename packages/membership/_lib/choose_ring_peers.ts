import { createHash } from "node:crypto";

/** Chooses the hosts to which a host keeps connections. */
export type ChoosePeers = (self: string, others: readonly string[]) => string[];

/**
 * Chooses the next two hosts on the hash ring and two fingers, at the cube root of the number of
 * hosts and at its square. A change reaches 340 hosts in 14 steps.
 */
export function chooseRingPeers(self: string, others: readonly string[]): string[] {
  const position = (id: string) => createHash("sha256").update(id).digest("hex");
  const own = position(self);
  const ring = others
    .map((id) => ({ id, at: position(id) }))
    .sort((a, b) => a.at < b.at ? -1 : 1);
  const next = ring.findIndex(({ at }) => at > own);
  const ordered = next <= 0 ? ring : [...ring.slice(next), ...ring.slice(0, next)];
  const root = Math.cbrt(ring.length + 1);
  const distances = [1, 2, Math.max(3, Math.ceil(root)), Math.max(4, Math.ceil(root * root))];
  return distances.flatMap((distance) => ordered[distance - 1]?.id ?? []);
}
