import { createFieldReader, DecodeError } from "@jaypass/kernel";
import type { FieldReader, NumberRange } from "@jaypass/kernel";
import { MAX_AGE_MS } from "../constants.ts";
import type {
  HubMessage,
  MemberMessage,
  MessageParsers,
  RevisionSpan,
  RowPatch,
  TableAgesMs,
} from "../messages.ts";
import { parseHostEntry } from "../parse_host_entry.ts";
import { TABLE } from "../types.ts";
import type { Row, RowBatch, Table } from "../types.ts";
import { expandView } from "./view_ages.ts";
import type { TextPatch } from "./text_patch.ts";

const VERSION_RANGE: NumberRange = { min: 0, max: Number.MAX_SAFE_INTEGER };

const AGE_RANGE: NumberRange = { min: 0, max: MAX_AGE_MS };

/** Longest problem of a row that is kept, in characters. */
const MAX_PROBLEM_LENGTH = 200;

const TABLES = new Map<unknown, Table>(Object.values(TABLE).map((table) => [table, table]));

/**
 * Parses a message of a member. Fields that are not part of it are left out, since they could be
 * nested so deeply that the message cannot be passed on.
 *
 * @param value decoded JSON
 * @param parsers parsers of the scheduler's types
 * @returns the message; undefined if its type is unknown, as a newer version may add types
 * @throws {DecodeError} when a field is missing, has the wrong type or is out of its range
 */
export function parseMemberMessage<Job, Decision, Report>(
  value: unknown,
  parsers: MessageParsers<Job, Decision, Report>,
): MemberMessage<Job, Report> | undefined {
  const fields = createFieldReader(value);
  const type = fields.string("type");
  switch (type) {
    case "hello":
      return {
        type,
        entry: parseHostEntry(fields.value("entry")),
        isDraining: fields.boolean("isDraining"),
        reports: fields.values("reports").map((report) => parsers.parseReport(report)),
        revisions: parseRevisions(fields.object("revisions")),
        ...fields.has("understands") && { understands: fields.strings("understands") },
      };
    case "ping":
      return { type, isDraining: fields.boolean("isDraining") };
    case "place":
      return { type, call: parseCall(fields), job: parsers.parseJob(fields.value("job")) };
    case "report":
      return { type, report: parsers.parseReport(fields.value("report")) };
    case "rows":
      return { type, table: parseTable(fields), batch: parseBatch(fields.value("batch")) };
    case "want":
      return { type, table: parseTable(fields), revision: parseVersion(fields, "revision") };
    case "fresh":
      return {
        type,
        ...fields.has("table") && { table: parseTable(fields) },
        ...fields.has("span") && { span: parseSpan(fields.value("span")) },
      };
    case "gossip":
      return { type, items: fields.values("items") };
    case "invite":
      return { type, hosts: parseBatch(fields.value("hosts")) };
    default:
      return undefined;
  }
}

/**
 * Parses a message of a hub, like {@linkcode parseMemberMessage}.
 *
 * @param value decoded JSON
 * @param parsers parsers of the scheduler's types
 * @returns the message; undefined if its type is unknown
 * @throws {DecodeError} when a field is missing, has the wrong type or is out of its range
 */
export function parseHubMessage<Job, Decision, Report>(
  value: unknown,
  parsers: MessageParsers<Job, Decision, Report>,
): HubMessage<Decision> | undefined {
  const fields = createFieldReader(value);
  const type = fields.string("type");
  switch (type) {
    case "rows":
      return {
        type,
        table: parseTable(fields),
        batch: parseBatch(fields.value("batch")),
        patches: fields.list("patches").map(parsePatch),
      };
    case "view":
      return {
        type,
        ageMs: fields.number("ageMs", AGE_RANGE),
        ownAgeMs: fields.number("ownAgeMs", AGE_RANGE),
        ...parseAges(fields, "otherAgesMs"),
        ...parseAges(fields, "otherOwnAgesMs"),
        recoveredAgoMs: fields.value("recoveredAgoMs") === null
          ? null
          : fields.number("recoveredAgoMs", AGE_RANGE),
      };
    case "ages":
      return expandView({
        type,
        ms: fields.values("ms").map(parseShortAge),
        ...fields.has("recoveredAgoMs") &&
          { recoveredAgoMs: fields.number("recoveredAgoMs", AGE_RANGE) },
      });
    case "hosts": {
      const change = createFieldReader(fields.value("change"));
      const joined = change.values("joined").map(parseHostEntry);
      return { type, change: { joined, left: change.strings("left") } };
    }
    case "want":
      return { type, table: parseTable(fields), revision: parseVersion(fields, "revision") };
    case "gossip":
      return { type, items: fields.values("items") };
    case "waiting":
      return { type, call: parseCall(fields) };
    case "placed":
      return {
        type,
        call: parseCall(fields),
        decision: parsers.parseDecision(fields.value("decision")),
      };
    default:
      return undefined;
  }
}

function parseCall(fields: FieldReader): number {
  return fields.integer("call", VERSION_RANGE);
}

/** Parses an age of a short view, which is -1 for a table that was never read. */
function parseShortAge(value: unknown): number {
  if (typeof value === "number" && value >= -1 && value <= MAX_AGE_MS) return value;
  throw new DecodeError("Age in a view is not a number in its range");
}

function parseTable(fields: FieldReader): Table {
  const table = TABLES.get(fields.value("table"));
  if (table === undefined) throw new DecodeError("Table is unknown");
  return table;
}

function parseVersion(fields: FieldReader, name: string): number | undefined {
  return fields.has(name) ? fields.integer(name, VERSION_RANGE) : undefined;
}

function parseRevisions(fields: FieldReader | undefined): Partial<Record<Table, number>> {
  const revisions: Partial<Record<Table, number>> = {};
  for (const table of Object.values(TABLE)) {
    const revision = fields && parseVersion(fields, table);
    if (revision !== undefined) revisions[table] = revision;
  }
  return revisions;
}

function parseSpan(value: unknown): RevisionSpan {
  const fields = createFieldReader(value);
  return {
    since: fields.integer("since", VERSION_RANGE),
    until: fields.integer("until", VERSION_RANGE),
  };
}

function parseAges<Name extends string>(
  fields: FieldReader,
  name: Name,
): { [key in Name]?: TableAgesMs } {
  const ages = fields.object(name);
  if (ages === undefined) return {};
  const entries = Object.values(TABLE).flatMap((table) =>
    ages.has(table) ? [[table, ages.number(table, AGE_RANGE)]] : []
  );
  return { [name]: Object.fromEntries(entries) } as { [key in Name]: TableAgesMs };
}

function parseBatch(value: unknown): RowBatch {
  const fields = createFieldReader(value);
  return {
    revision: fields.integer("revision", VERSION_RANGE),
    rows: fields.list("rows").map(parseRow),
    isWhole: fields.boolean("isWhole"),
    sinceRevision: parseVersion(fields, "sinceRevision"),
  };
}

function parseRow(fields: FieldReader): Row {
  return {
    key: fields.string("key"),
    value: fields.has("value") ? fields.string("value") : undefined,
    version: fields.integer("version", VERSION_RANGE),
    ...fields.has("problem") && { problem: fields.string("problem").slice(0, MAX_PROBLEM_LENGTH) },
  };
}

function parsePatch(fields: FieldReader): RowPatch {
  return {
    key: fields.string("key"),
    version: fields.integer("version", VERSION_RANGE),
    baseVersion: fields.integer("baseVersion", VERSION_RANGE),
    patch: fields.values("patch").map(parsePatchPart),
  };
}

function parsePatchPart(part: unknown): TextPatch[number] {
  if (typeof part === "string") return part;
  const [first, count] = Array.isArray(part) ? part : [];
  if (!Number.isSafeInteger(first) || !Number.isSafeInteger(count) || first < 0 || count < 0) {
    throw new DecodeError("Part of a patch is neither a text nor a range");
  }
  return [first, count];
}
