import { createHash } from "node:crypto";

/** Returns eight hex digits of a workspace's hash. */
export function hashWorkspace(workspace: string): string {
  return createHash("sha256").update(workspace).digest("hex").slice(0, 8);
}
