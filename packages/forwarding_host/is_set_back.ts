import { SERVER_STATE, TABLE } from "@jaypass/fleet";
import type { Row, ServerEntry, Table } from "@jaypass/fleet";
import type { OperatorEntry } from "./types.ts";

/**
 * Reports whether a row of a store that has come back from a copy must not replace the one known from
 * before: an older configuration, or an older state of a server that leaves or has left, which would get
 * requests again. Their writers write them again soon.
 *
 * @param table the table of the rows
 * @param rows the known row, and the older one of the restored store
 * @returns true if the known row stays
 *
 * @example
 * isSetBack(TABLE.SERVERS, { known: drainingRow, restored: readyRow }); // true
 */
export function isSetBack(
  table: Table,
  { known, restored }: { known: Row; restored: Row },
): boolean {
  if (restored.value === undefined) return false;
  if (table === TABLE.SERVERS) {
    const { state } = JSON.parse(restored.value) as ServerEntry;
    return state === SERVER_STATE.READY && readServerState(known) !== SERVER_STATE.READY;
  }
  if (table !== TABLE.OPERATORS || known.value === undefined) return false;
  const before = JSON.parse(known.value) as OperatorEntry;
  const now = JSON.parse(restored.value) as OperatorEntry;
  return before.kind === "configuration" && now.kind === "configuration" &&
    now.document.version < before.document.version;
}

function readServerState({ value }: Row): ServerEntry["state"] | undefined {
  return value === undefined ? undefined : (JSON.parse(value) as ServerEntry).state;
}
