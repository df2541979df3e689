import type { TableClient } from "@jaypass/store_clients";
import { LEASES_TABLE } from "../constants.ts";
import type { LeaseHolder, LeaseRow, LeaseTiming } from "../types.ts";
import type { Holding } from "./create_lease_state.ts";
import { isSameHolder } from "./lease_holder.ts";

/** Options of {@linkcode releaseRow}. */
export interface ReleaseOptions {
  name: string;
  table: TableClient;
  self: LeaseHolder;
  timing: LeaseTiming;
}

/**
 * Removes the holder from a lease row, unless another process has taken the lease over.
 *
 * @returns whether it is confirmed that this process is no longer named as the holder
 */
export async function releaseRow(holding: Holding, options: ReleaseOptions): Promise<boolean> {
  const { name, table, self, timing } = options;
  const callOptions = {
    timeoutMs: timing.storeTimeoutMs,
    signal: AbortSignal.timeout(timing.storeTimeoutMs),
  };
  const released = ({ fencing, retained }: LeaseRow): LeaseRow => ({ fencing, retained });
  let { row, version } = holding;
  for (;;) {
    const result = await table.commit({
      conditions: [{ table: LEASES_TABLE, key: name, version }],
      writes: [{ table: LEASES_TABLE, key: name, value: released(row) }],
    }, callOptions);
    if (result.outcome === "done") return true;
    if (result.outcome !== "conflict") return false;
    const current = await table.read<LeaseRow>(LEASES_TABLE, name, callOptions)
      .catch(() => undefined);
    if (current === undefined || current.version <= version) return false;
    if (!isSameHolder(current.value.holder, self)) return true;
    if (current.value.fencing !== row.fencing) return true;
    ({ value: row, version } = current);
  }
}
