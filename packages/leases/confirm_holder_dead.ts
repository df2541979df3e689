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

/**
 * A renewal changes the row every 3 s, so a few attempts suffice unless reads return old versions.
 */
const MAX_ATTEMPTS = 10;

/**
 * Records an operator's confirmation that an earlier holder of a lease is dead.
 *
 * The present holder reads the change at its next renewal and then also uses the share of the dead
 * process. If that process is in fact alive, both together can exceed the limit.
 *
 * @param name name of the lease
 * @param holder host and incarnation of the dead process
 * @param options store and the timeout of each call to it
 * @returns true when the share was freed, false when none was reserved for this holder
 * @throws {LeaseError} when the write failed or its outcome is unknown; the call may be repeated
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
