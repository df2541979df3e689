import { createFieldReader, DecodeError } from "@jaypass/kernel";
import type { FieldReader, Millis, NumberRange } from "@jaypass/kernel";
import type { EngineProfile } from "@jaypass/placement";
import { MAX_ROUTE_TIME_MS } from "./constants.ts";
import type { ConfigurationDocument } from "./index_configuration.ts";
import { ROUTE_KIND } from "./types.ts";
import type { Route, RouteKind, Service, Workspace } from "./types.ts";

const AMOUNT_RANGE: NumberRange = { min: 0, max: Number.MAX_SAFE_INTEGER };

/** Rates that other values are divided by. */
const RATE_RANGE: NumberRange = { min: 1e-6, max: Number.MAX_SAFE_INTEGER };

const COUNT_RANGE: NumberRange = { min: 1, max: Number.MAX_SAFE_INTEGER };

/** Characters of a header value; the name of a workspace is sent to servers in a header. */
const HEADER_VALUE = /^[\t\x20-\x7e\x80-\xff]+$/;

const ROUTE_KINDS = new Set<string>(Object.values(ROUTE_KIND));

/**
 * Parses a configuration document, and ignores fields that are not part of it. Times of routes are
 * limited to a day, so that no timer that is derived from them overflows and fires at once.
 *
 * @param value decoded JSON of the document
 * @returns the document
 * @throws {DecodeError} when a field is missing, has the wrong type or is out of its range
 *
 * @example
 * const document = parseConfigurationDocument(JSON.parse(text));
 */
export function parseConfigurationDocument(value: unknown): ConfigurationDocument {
  const fields = createFieldReader(value);
  const limits = createFieldReader(fields.value("limits"));
  return {
    version: fields.number("version", AMOUNT_RANGE),
    routes: fields.list("routes").map(parseRoute),
    services: fields.list("services").map(parseService),
    workspaces: fields.has("workspaces")
      ? fields.list("workspaces").map(parseWorkspace)
      : undefined,
    limits: {
      maxHeaderBytes: limits.number("maxHeaderBytes", AMOUNT_RANGE),
      maxBodyBytes: limits.number("maxBodyBytes", AMOUNT_RANGE),
      headerTimeoutMs: parseTime(limits, "headerTimeoutMs"),
      idleTimeoutMs: parseTime(limits, "idleTimeoutMs"),
    },
  };
}

function parseTime(fields: FieldReader, name: string): Millis {
  return Math.min(fields.number(name, { min: 0, max: Number.MAX_VALUE }), MAX_ROUTE_TIME_MS);
}

function parseRoute(fields: FieldReader): Route {
  const kind = fields.string("kind");
  if (!ROUTE_KINDS.has(kind)) throw new DecodeError(`Route kind "${kind.slice(0, 60)}" is unknown`);
  return {
    name: fields.string("name"),
    host: fields.string("host"),
    prefix: fields.string("prefix"),
    kind: kind as RouteKind,
    timeoutMs: parseTime(fields, "timeoutMs"),
    goalMs: parseTime(fields, "goalMs"),
    pauseGoalMs: parseTime(fields, "pauseGoalMs"),
    patienceMs: parseTime(fields, "patienceMs"),
    priority: fields.number("priority"),
    targets: fields.list("targets").map((target) => ({
      service: target.string("service"),
      weight: target.number("weight", AMOUNT_RANGE),
    })),
    maxAttempts: fields.number("maxAttempts", AMOUNT_RANGE),
    isPublic: fields.boolean("isPublic"),
    isResumable: fields.boolean("isResumable"),
  };
}

function parseService(fields: FieldReader): Service {
  const engine = fields.object("engine");
  return {
    name: fields.string("name"),
    coldRequestsPerS: fields.number("coldRequestsPerS", AMOUNT_RANGE),
    engine: engine && parseEngineProfile(engine),
  };
}

function parseEngineProfile(fields: FieldReader): EngineProfile {
  return {
    slots: fields.number("slots", COUNT_RANGE),
    memoryTokens: fields.number("memoryTokens", AMOUNT_RANGE),
    stepMs: fields.number("stepMs", AMOUNT_RANGE),
    perWriterMs: fields.number("perWriterMs", AMOUNT_RANGE),
    contextMsPerThousand: fields.number("contextMsPerThousand", AMOUNT_RANGE),
    readTokensPerMs: fields.number("readTokensPerMs", RATE_RANGE),
    pairMsPerMillion: fields.number("pairMsPerMillion", AMOUNT_RANGE),
    stepsPerPass: fields.number("stepsPerPass", COUNT_RANGE),
    chunkTokens: fields.number("chunkTokens", COUNT_RANGE),
    usualPromptTokens: fields.number("usualPromptTokens", AMOUNT_RANGE),
    usualAnswerTokens: fields.number("usualAnswerTokens", AMOUNT_RANGE),
  };
}

function parseWorkspace(fields: FieldReader): Workspace {
  const name = fields.string("name");
  if (!HEADER_VALUE.test(name)) throw new DecodeError("Workspace name cannot be sent in a header");
  // A request without a key counts as one with an empty key, which must not belong to anyone.
  const keys = fields.strings("keys").filter((key) => key !== "");
  return { name, keys, ...(fields.has("priority") && { priority: fields.number("priority") }) };
}
