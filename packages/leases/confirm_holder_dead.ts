import type { Millis } from "@jaypass/kernel";
import type { TableClient } from "@jaypass/store_clients";
import { LEASES_TABLE } from "./constants.ts";
import { LeaseError } from "./errors.ts";
import type { LeaseHolder, LeaseRow } from "./types.ts";

/** Options of {@linkcode confirmHolderDead}. */
export interface ConfirmHolderDeadOptions {
  table: TableClient;
  timeoutMs: Millis;
}

/** A renewal comes every 3 s, so a few attempts are enough unless reads are from the past. */
const MAX_ATTEMPTS = 10;

/**
 * Records an operator's confirmation that an earlier holder of a lease is dead.
 *
 * The present holder learns it at its next renewal and then uses the whole limit. A wrong
 * confirmation lets both processes together exceed the limit.
 *
 * @param name name of the lease
 * @param holder host and incarnation of the dead process
 * @param options store and milliseconds for each of its calls
 * @returns true when the share was freed, false when none was set aside for this holder
 * @throws {LeaseError} when the outcome of the write is not known; the call may be repeated
 *
 * @example
 * await confirmHolderDead("pool/model-a@gent", { host: "h7", incarnation: "12" }, options);
 */
export async function confirmHolderDead(
  name: string,
  holder: Pick<LeaseHolder, "host" | "incarnation">,
  options: ConfirmHolderDeadOptions,
): Promise<boolean> {
  const { table, timeoutMs } = options;
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
    const row = await table.read<LeaseRow>(LEASES_TABLE, name, { timeoutMs });
    const retained = row?.value.retained.filter((entry) =>
      entry.host !== holder.host || entry.incarnation !== holder.incarnation
    );
    if (row === undefined || retained?.length === row.value.retained.length) return false;
    const result = await table.commit({
      conditions: [{ table: LEASES_TABLE, key: name, version: row.version }],
      writes: [{ table: LEASES_TABLE, key: name, value: { ...row.value, retained } }],
    }, { timeoutMs });
    if (result.outcome === "done") return true;
    if (result.outcome !== "conflict") {
      throw new LeaseError(`Confirmation for lease "${name}" ended "${result.outcome}"`, {
        cause: result.cause,
      });
    }
  }
  throw new LeaseError(`Lease "${name}" changed during each of "${MAX_ATTEMPTS}" attempts`);
}
