import type { PoolState } from "./pool_state.ts";
import type { GrantRecord } from "./server_state.ts";

/**
 * Finds the latest grant of a request.
 *
 * @param pool the pool
 * @param requestId id of the request, or of one of its attempts (`REQUEST.NUMBER`)
 * @returns the grant, or `undefined` when the pool has none
 */
export function findGrantByRequest(pool: PoolState, requestId: string): GrantRecord | undefined {
  let found: GrantRecord | undefined;
  for (const record of pool.grants.values()) {
    const granted = record.req.requestId;
    if (granted === requestId || granted.startsWith(`${requestId}.`)) found = record;
  }
  return found;
}
