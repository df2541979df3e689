import { MAX_AGE_MS } from "../constants.ts";
import type { HubMessage, TableAgesMs } from "../messages.ts";
import { TABLE } from "../types.ts";
import type { Table, TableAge } from "../types.ts";

type View = HubMessage<unknown> & { type: "view" };

/** The fields of a view that state the ages of tables. */
type ViewAges = Pick<View, "ageMs" | "ownAgeMs" | "otherAgesMs" | "otherOwnAgesMs">;

const OTHER_TABLES = Object.values(TABLE).filter((table) => table !== TABLE.SERVERS);

const toMessage = (ageMs: number) => Number.isFinite(ageMs) ? Math.round(ageMs) : MAX_AGE_MS;

const fromMessage = (ageMs: number) => ageMs === MAX_AGE_MS ? Infinity : ageMs;

/**
 * Encodes the ages of a hub's tables for a view. A view is sent often, so equal ages are sent once.
 *
 * @param ageOf returns the age of the hub's copy of a table
 * @returns fields of the view
 */
export function encodeViewAges(ageOf: (table: Table) => TableAge): ViewAges {
  const servers = ageOf(TABLE.SERVERS);
  const others = OTHER_TABLES.map((table) => [table, ageOf(table)] as const);
  const listAges = (field: keyof TableAge): TableAgesMs =>
    Object.fromEntries(others.map(([table, age]) => [table, toMessage(age[field])]));
  const isOwn = others.every(([, age]) => age.ageMs === age.hubAgeMs);
  return {
    ageMs: toMessage(servers.ageMs),
    ownAgeMs: toMessage(servers.hubAgeMs),
    otherAgesMs: listAges("ageMs"),
    ...!isOwn && { otherOwnAgesMs: listAges("hubAgeMs") },
  };
}

/**
 * Decodes the ages of a hub's tables. A hub of an earlier release states only that of the servers
 * table, which then stands for all.
 *
 * @param view fields of a view
 * @returns the age of each table when the view was sent
 */
export function decodeViewAges(view: ViewAges): Record<Table, TableAge> {
  const { otherAgesMs, otherOwnAgesMs = otherAgesMs } = view;
  const decode = (table: Table): TableAge => ({
    ageMs: fromMessage(otherAgesMs?.[table] ?? view.ageMs),
    hubAgeMs: fromMessage(otherOwnAgesMs?.[table] ?? view.ownAgeMs),
  });
  return {
    [TABLE.OPERATORS]: decode(TABLE.OPERATORS),
    [TABLE.HOSTS]: decode(TABLE.HOSTS),
    [TABLE.SERVERS]: { ageMs: fromMessage(view.ageMs), hubAgeMs: fromMessage(view.ownAgeMs) },
  };
}
