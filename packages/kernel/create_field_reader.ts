import { DecodeError } from "./errors.ts";

/** Longest text of a field that is quoted in an error. */
const MAX_QUOTED_LENGTH = 60;

/** Longest name or identifier that {@linkcode FieldReader.text} accepts, in characters. */
const MAX_TEXT_LENGTH = 200;

/** Inclusive bounds of a number. */
export interface NumberRange {
  min: number;
  max: number;
}

/** Reads typed fields of a decoded JSON object. */
export interface FieldReader {
  /** Reads a string. */
  string(name: string): string;
  /** Reads a name or an identifier: a string of 1 to 200 characters. */
  text(name: string): string;
  /** Reads a finite number. */
  number(name: string, range?: NumberRange): number;
  /** Reads a finite number; returns the default when the field is missing. */
  numberOr(name: string, defaultValue: number, range?: NumberRange): number;
  /** Reads a whole number that JavaScript represents exactly. */
  integer(name: string, range?: NumberRange): number;
  /** Reads a whole number; returns the default when the field is missing. */
  integerOr(name: string, defaultValue: number, range?: NumberRange): number;
  /** Reads a boolean; returns false when the field is missing or is not `true`. */
  boolean(name: string): boolean;
  /** Reads an array of objects; returns an empty array when the field is missing. */
  list(name: string): FieldReader[];
  /** Reads an array of any values. */
  values(name: string): unknown[];
  /** Reads an array of strings. */
  strings(name: string): string[];
  /** Reads an object; returns undefined when the field is missing. */
  object(name: string): FieldReader | undefined;
  /** Returns a field without a check. */
  value(name: string): unknown;
  /** Tells whether the field is present. */
  has(name: string): boolean;
}

/**
 * Creates a reader for the fields of an object.
 *
 * @param value decoded JSON
 * @returns the reader; its functions throw a {@linkcode DecodeError} for a field of another type or
 * out of its range
 * @throws {DecodeError} when the value is not an object
 *
 * @example
 * createFieldReader(JSON.parse(text)).integer("port", { min: 1, max: 65_535 });
 */
export function createFieldReader(value: unknown): FieldReader {
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    throw new DecodeError("Expected a JSON object");
  }
  const fields = value as Record<string, unknown>;
  const fail = (name: string, expected: string): never => {
    throw new DecodeError(`Field "${name}" is ${quote(fields[name])}, not ${expected}`);
  };
  const readNumber = (name: string, range?: NumberRange): number => {
    const field = fields[name];
    if (typeof field !== "number" || !Number.isFinite(field)) return fail(name, "a number");
    if (range === undefined || (field >= range.min && field <= range.max)) return field;
    return fail(name, `between ${range.min} and ${range.max}`);
  };
  const readInteger = (name: string, range?: NumberRange): number => {
    const number = readNumber(name, range);
    return Number.isSafeInteger(number) ? number : fail(name, "a whole number");
  };
  const readList = (name: string): unknown[] => {
    const field = fields[name];
    return Array.isArray(field) ? field : fail(name, "an array");
  };
  const readString = (name: string): string => {
    const field = fields[name];
    return typeof field === "string" ? field : fail(name, "a string");
  };
  return {
    string: readString,
    text(name) {
      const { length } = readString(name);
      const isText = length > 0 && length <= MAX_TEXT_LENGTH;
      return isText ? readString(name) : fail(name, `a text of 1 to ${MAX_TEXT_LENGTH} characters`);
    },
    number: readNumber,
    numberOr: (name, defaultValue, range) =>
      fields[name] === undefined ? defaultValue : readNumber(name, range),
    integer: readInteger,
    integerOr: (name, defaultValue, range) =>
      fields[name] === undefined ? defaultValue : readInteger(name, range),
    boolean: (name) => fields[name] === true,
    list: (name) => fields[name] === undefined ? [] : readList(name).map(createFieldReader),
    values: readList,
    strings: (name) =>
      readList(name).map((item) =>
        typeof item === "string" ? item : fail(name, "an array of strings")
      ),
    object: (name) => fields[name] === undefined ? undefined : createFieldReader(fields[name]),
    value: (name) => fields[name],
    has: (name) => fields[name] !== undefined,
  };
}

/** Describes a value briefly; deeply nested ones cannot be written as JSON. */
function quote(value: unknown): string {
  if (typeof value === "object" && value !== null) {
    return Array.isArray(value) ? "an array" : "an object";
  }
  return `"${String(value).slice(0, MAX_QUOTED_LENGTH)}"`;
}
