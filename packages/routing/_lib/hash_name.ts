import { createHash } from "node:crypto";

/** Returns eight hex digits of the hash of a workspace's or model's name. */
export function hashName(name: string): string {
  return createHash("sha256").update(name).digest("hex").slice(0, 8);
}
