import type { PoolState } from "./pool_state.ts";
import type { GrantRecord } from "./server_state.ts";

/** Finds the latest grant of a request in a pool; the id of an attempt is `REQUEST.NUMBER`. */
export function findHeld(pool: PoolState, requestId: string): GrantRecord | undefined {
  let found: GrantRecord | undefined;
  for (const record of pool.grants.values()) {
    if (record.req.requestId.startsWith(`${requestId}.`)) found = record;
  }
  return found;
}
