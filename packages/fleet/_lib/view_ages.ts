import { MAX_AGE_MS } from "../constants.ts";
import { DecodeError } from "@jaypass/kernel";
import type { HubMessage, ShortView, TableAgesMs } from "../messages.ts";
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

/** Order of the tables in a short view. */
const TABLE_ORDER = [TABLE.SERVERS, ...OTHER_TABLES] as const;

/** Stands in a short view for the age of a table that was never read. */
const NEVER = -1;

const toShortAge = (ageMs: number) => ageMs === MAX_AGE_MS ? NEVER : ageMs;

/**
 * Shortens a view for a member that understands it. Views are most of the traffic in calm.
 *
 * @param view the view
 * @returns the same facts without the names of tables
 */
export function shortenView(view: View): ShortView {
  const { ageMs, ownAgeMs, otherAgesMs = {}, otherOwnAgesMs, recoveredAgoMs } = view;
  const list = (serversMs: number, others: TableAgesMs) =>
    [serversMs, ...OTHER_TABLES.map((table) => others[table] ?? serversMs)].map(toShortAge);
  const ages = list(ageMs, otherAgesMs);
  const ownAges = list(ownAgeMs, otherOwnAgesMs ?? otherAgesMs);
  const isOwn = ages.every((age, index) => age === ownAges[index]);
  return {
    type: "ages",
    ms: isOwn ? ages : [...ages, ...ownAges],
    ...recoveredAgoMs !== null && { recoveredAgoMs },
  };
}

/**
 * Restores a view from a short one.
 *
 * @param short the short view
 * @returns the view
 * @throws {DecodeError} when it does not have one or two ages for each table
 */
export function expandView({ ms, recoveredAgoMs }: ShortView): View {
  const count = TABLE_ORDER.length;
  if (ms.length !== count && ms.length !== 2 * count) {
    throw new DecodeError(`View has ${ms.length} ages for ${count} tables`);
  }
  const read = (values: number[]) => {
    const [serversMs = MAX_AGE_MS, ...others] = values.map((age) =>
      age === NEVER ? MAX_AGE_MS : age
    );
    return [
      serversMs,
      Object.fromEntries(OTHER_TABLES.map((table, index) => [table, others[index] ?? MAX_AGE_MS])),
    ] as const;
  };
  const [ageMs, otherAgesMs] = read(ms.slice(0, count));
  const [ownAgeMs, otherOwnAgesMs] = read(ms.slice(-count));
  return {
    type: "view",
    ageMs,
    ownAgeMs,
    otherAgesMs,
    otherOwnAgesMs,
    recoveredAgoMs: recoveredAgoMs ?? null,
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
