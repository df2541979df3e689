import type { PoolState } from "./pool_state.ts";
import type { GrantRecord } from "./server_state.ts";

/** Finds the latest grant of a request or of one attempt, whose id is `REQUEST.NUMBER`. */
export function findGrantByRequest(pool: PoolState, requestId: string): GrantRecord | undefined {
  let found: GrantRecord | undefined;
  for (const record of pool.grants.values()) {
    const granted = record.req.requestId;
    if (granted === requestId || granted.startsWith(`${requestId}.`)) found = record;
  }
  return found;
}
