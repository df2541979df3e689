import type { IncomingMessage } from "node:http";
import type { AdministrationOptions } from "../create_administration.ts";
import { CHANGE_MAX_BYTES, STORE_READ_TIMEOUT_MS } from "../constants.ts";
import type { ApplyResponse, ChangeEnvelope } from "../operator_api.ts";
import type { AdministrationToken, SectionChange, SectionName } from "../types.ts";
import { AdministrationError } from "./administration_error.ts";
import { checkChanges } from "./check_changes.ts";
import { sectionNames } from "./document_schema.ts";
import { listDifferences } from "./list_differences.ts";
import { listRollForward } from "./list_roll_forward.ts";
import { readDocumentAt } from "./read_document_at.ts";
import { readHistory } from "./read_history.ts";
import { readJsonBody } from "./read_json_body.ts";
import {
  applyRequestSchema,
  backendServerStateSchema,
  dataCentreStateSchema,
  diffRequestSchema,
  rollForwardRequestSchema,
} from "./request_schemas.ts";
import { storeChanges } from "./store_changes.ts";

/** A request with the data that its route needs. */
export interface RouteContext extends AdministrationOptions {
  req: IncomingMessage;
  query: URLSearchParams;
  owner: AdministrationToken;
  signal: AbortSignal;
}

type Route = (context: RouteContext, name: string) => Promise<unknown>;

const HISTORY_PAGE_SIZE = 20;
const HISTORY_MAX_PAGE_SIZE = 100;

/** Throws unless the owner of the token may change all of the sections. */
function assertMayChange(owner: AdministrationToken, sections: readonly string[]): void {
  const forbidden = sections.filter((section) => !owner.sections.includes(section as SectionName));
  if (forbidden.length === 0) return;
  const message = `"${owner.owner}" may not change section "${forbidden.join(", ")}"`;
  throw new AdministrationError("forbidden", message);
}

/** Returns the current document, or throws when this host has none yet. */
function requireDocument({ configuration }: RouteContext) {
  const current = configuration.snapshot();
  if (current.revision > 0) return current;
  throw new AdministrationError("not_ready", "This host has no configuration document yet");
}

/** Returns the current document, or that of the revision that the query names. */
async function readRequestedDocument(context: RouteContext) {
  const { revision, document } = requireDocument(context);
  const requestedRevision = parsePositiveInteger(context.query, "revision", revision);
  if (requestedRevision === revision) return { revision, document };
  if (requestedRevision > revision) {
    // Another host may have reached a revision that this host has not read yet.
    await context.configuration.catchUp(
      requestedRevision,
      AbortSignal.any([
        context.signal,
        AbortSignal.timeout(STORE_READ_TIMEOUT_MS),
      ]),
    ).catch((err) => {
      const message = `Revision ${requestedRevision} is not known here`;
      throw new AdministrationError("not_found", message, { cause: err });
    });
  }
  return {
    revision: requestedRevision,
    document: await readDocumentAt(requestedRevision, context),
  };
}

function bodyLimits({ signal }: RouteContext) {
  return { maxBytes: CHANGE_MAX_BYTES, signal };
}

/**
 * Waits until this host has reached the base revision of a request.
 *
 * The operator may have read it from another host that is ahead. Entries derived from an older
 * document would undo changes that the operator has seen.
 */
async function catchUpWithBase(envelope: ChangeEnvelope, context: RouteContext): Promise<void> {
  await context.configuration.catchUp(envelope.baseRevision ?? 0, context.signal);
}

/** Stores changes after checking that the owner of the token may make them. */
function storeAuthorizedChanges(
  changes: readonly SectionChange[],
  envelope: ChangeEnvelope,
  context: RouteContext,
): Promise<ApplyResponse> {
  assertMayChange(context.owner, changes.map(({ section }) => section));
  return storeChanges(changes, envelope, { ...context, who: context.owner.owner });
}

/** Reads a positive whole number from the query. */
function parsePositiveInteger(query: URLSearchParams, key: string, fallback: number): number {
  const text = query.get(key);
  if (text === null) return fallback;
  if (!/^\d{1,12}$/.test(text) || Number(text) === 0) {
    throw new AdministrationError("bad_request", `"${key}" must be a whole number above 0`);
  }
  return Number(text);
}

/** Returns a change of the state of an entry, or throws when there is no such entry. */
function createStateChange(
  context: RouteContext,
  section: "dataCentres" | "backendServers",
  change: { name: string; state: string },
): SectionChange {
  const entries: Record<string, object> = requireDocument(context).document[section];
  const entry = Object.hasOwn(entries, change.name) ? entries[change.name] : undefined;
  if (entry === undefined) {
    throw new AdministrationError("not_found", `No entry "${change.name}" in "${section}"`);
  }
  return { section, entries: { [change.name]: { ...entry, state: change.state } } };
}

/** Routes by method and path pattern; `*` matches the name of an entry or section. */
const ROUTES: Record<string, Route> = {
  "GET ": readRequestedDocument,
  "GET /revision": ({ configuration }) => {
    const { revision, changeId } = configuration.snapshot();
    return Promise.resolve({ revision, changeId });
  },
  "GET /sections/*": async (context, name) => {
    const section = sectionNames.find((known) => known === name);
    if (section === undefined) {
      const known = sectionNames.join(", ");
      throw new AdministrationError("not_found", `No section "${name}"; there are ${known}`);
    }
    const { revision, document } = await readRequestedDocument(context);
    return { revision, section, entries: document[section] };
  },
  "GET /history": (context) => {
    const limit = Math.min(
      HISTORY_MAX_PAGE_SIZE,
      parsePositiveInteger(context.query, "limit", HISTORY_PAGE_SIZE),
    );
    const before = parsePositiveInteger(
      context.query,
      "before",
      requireDocument(context).revision + 1,
    );
    return readHistory(before, { ...context, limit });
  },
  "POST /diff": async (context) => {
    const body = await readJsonBody(context.req, {
      schema: diffRequestSchema,
      ...bodyLimits(context),
    });
    const { revision, document } = context.configuration.snapshot();
    const checked = checkChanges(document, body.changes);
    return { revision, differences: listDifferences(document, checked) };
  },
  "POST /apply": async (context) => {
    const body = await readJsonBody(context.req, {
      schema: applyRequestSchema,
      ...bodyLimits(context),
    });
    return await storeAuthorizedChanges(body.changes, body, context);
  },
  "POST /roll-forward": async (context) => {
    const body = await readJsonBody(context.req, {
      schema: rollForwardRequestSchema,
      ...bodyLimits(context),
    });
    await catchUpWithBase(body, context);
    const { revision, document } = requireDocument(context);
    if (body.toRevision > revision) {
      throw new AdministrationError("not_found", `Revision ${body.toRevision} does not exist`);
    }
    const earlier = await readDocumentAt(body.toRevision, context);
    const sections = body.sections ?? sectionNames;
    const changes = listRollForward(document, earlier, { sections });
    return await storeAuthorizedChanges(changes, {
      ...body,
      baseRevision: body.baseRevision ?? revision,
    }, context);
  },
  "POST /data-centres/*/state": async (context, name) => {
    assertMayChange(context.owner, ["dataCentres"]);
    const body = await readJsonBody(context.req, {
      schema: dataCentreStateSchema,
      ...bodyLimits(context),
    });
    await catchUpWithBase(body, context);
    const change = createStateChange(context, "dataCentres", { name, state: body.state });
    return await storeAuthorizedChanges([change], body, context);
  },
  "POST /backend-servers/*/state": async (context, name) => {
    assertMayChange(context.owner, ["backendServers"]);
    const body = await readJsonBody(context.req, {
      schema: backendServerStateSchema,
      ...bodyLimits(context),
    });
    await catchUpWithBase(body, context);
    const change = createStateChange(context, "backendServers", { name, state: body.state });
    return await storeAuthorizedChanges([change], body, context);
  },
};

/**
 * Matches a path with a pattern.
 *
 * @returns the part that `*` matches, empty for a pattern without `*`, or `undefined` when the path
 *   does not match
 */
function matchPath(pattern: string, path: string): string | undefined {
  const patternParts = pattern.split("/");
  const pathParts = path.split("/");
  if (patternParts.length !== pathParts.length) return undefined;
  let name = "";
  for (const [index, part] of patternParts.entries()) {
    if (part === "*") name = pathParts[index]!;
    else if (part !== pathParts[index]) return undefined;
  }
  return name;
}

/**
 * Finds the route of a request.
 *
 * @param method HTTP method
 * @param path path below `/admin/v1/config`
 * @throws {AdministrationError} `not_found` or `method_not_allowed`
 */
export function findAdministrationRoute(
  method: string,
  path: string,
): (context: RouteContext) => Promise<unknown> {
  const trimmed = path.replace(/\/$/, "");
  let isKnownPath = false;
  for (const [key, route] of Object.entries(ROUTES)) {
    const [routeMethod, pattern = ""] = key.split(" ");
    const name = matchPath(pattern, trimmed);
    if (name === undefined) continue;
    isKnownPath = true;
    // Entry names never need percent encoding, so an encoded name matches no entry.
    if (routeMethod === method) return (context) => route(context, name);
  }
  if (isKnownPath) {
    throw new AdministrationError("method_not_allowed", `Method "${method}" is not allowed here`);
  }
  throw new AdministrationError("not_found", `No path "/admin/v1/config${path}"`);
}
