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

/** A request with everything that a route needs. */
export interface RouteContext extends AdministrationOptions {
  req: IncomingMessage;
  query: URLSearchParams;
  owner: AdministrationToken;
  signal: AbortSignal;
}

type Route = (context: RouteContext, name: string) => Promise<unknown>;

const HISTORY_PAGE = 20;
const HISTORY_MAX_PAGE = 100;

/** Throws unless the owner may change a section. */
function requireSections(owner: AdministrationToken, sections: readonly string[]): void {
  const refused = sections.filter((section) => !owner.sections.includes(section as SectionName));
  if (refused.length === 0) return;
  const message = `"${owner.owner}" may not change section "${refused.join(", ")}"`;
  throw new AdministrationError("forbidden", message);
}

function currentOf({ configuration }: RouteContext) {
  const current = configuration.snapshot();
  if (current.revision > 0) return current;
  throw new AdministrationError("not_ready", "This host has no configuration document yet");
}

/** Returns the current document, or that of the revision in the query. */
async function documentOf(context: RouteContext) {
  const { revision, document } = currentOf(context);
  const wanted = numberOf(context.query, "revision", revision);
  if (wanted === revision) return { revision, document };
  if (wanted > revision) {
    // The revision may be known to a host that is ahead of this one.
    await context.configuration.catchUp(
      wanted,
      AbortSignal.any([
        context.signal,
        AbortSignal.timeout(STORE_READ_TIMEOUT_MS),
      ]),
    ).catch((err) => {
      const message = `Revision ${wanted} is not known here`;
      throw new AdministrationError("not_found", message, { cause: err });
    });
  }
  return { revision: wanted, document: await readDocumentAt(wanted, context) };
}

function bodyLimits({ signal }: RouteContext) {
  return { maxBytes: CHANGE_MAX_BYTES, signal };
}

/**
 * Catches up with the base, which may come from a host that is ahead. Entries built from an older
 * document would undo changes that the operator has seen.
 */
async function reachBase(envelope: ChangeEnvelope, context: RouteContext): Promise<void> {
  await context.configuration.catchUp(envelope.baseRevision ?? 0, context.signal);
}

function store(
  changes: readonly SectionChange[],
  envelope: ChangeEnvelope,
  context: RouteContext,
): Promise<ApplyResponse> {
  requireSections(context.owner, changes.map(({ section }) => section));
  return storeChanges(changes, envelope, { ...context, who: context.owner.owner });
}

/** Reads a whole number from the query. */
function numberOf(query: URLSearchParams, key: string, fallback: number): number {
  const text = query.get(key);
  if (text === null) return fallback;
  if (!/^\d{1,12}$/.test(text) || Number(text) === 0) {
    throw new AdministrationError("bad_request", `"${key}" must be a whole number above 0`);
  }
  return Number(text);
}

/** Returns an entry, which must exist, with another state. */
function withState(
  context: RouteContext,
  section: "dataCentres" | "backendServers",
  change: { name: string; state: string },
): SectionChange {
  const entries: Record<string, object> = currentOf(context).document[section];
  const entry = Object.hasOwn(entries, change.name) ? entries[change.name] : undefined;
  if (entry === undefined) {
    throw new AdministrationError("not_found", `No entry "${change.name}" in "${section}"`);
  }
  return { section, entries: { [change.name]: { ...entry, state: change.state } } };
}

/** Routes by method and path; `*` stands for one name. */
const ROUTES: Record<string, Route> = {
  "GET ": documentOf,
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
    const { revision, document } = await documentOf(context);
    return { revision, section, entries: document[section] };
  },
  "GET /history": (context) => {
    const limit = Math.min(HISTORY_MAX_PAGE, numberOf(context.query, "limit", HISTORY_PAGE));
    const before = numberOf(context.query, "before", currentOf(context).revision + 1);
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
    return await store(body.changes, body, context);
  },
  "POST /roll-forward": async (context) => {
    const body = await readJsonBody(context.req, {
      schema: rollForwardRequestSchema,
      ...bodyLimits(context),
    });
    await reachBase(body, context);
    const { revision, document } = currentOf(context);
    if (body.toRevision > revision) {
      throw new AdministrationError("not_found", `Revision ${body.toRevision} does not exist`);
    }
    const earlier = await readDocumentAt(body.toRevision, context);
    const sections = body.sections ?? sectionNames;
    const changes = listRollForward(document, earlier, { sections });
    return await store(changes, { ...body, baseRevision: body.baseRevision ?? revision }, context);
  },
  "POST /data-centres/*/state": async (context, name) => {
    requireSections(context.owner, ["dataCentres"]);
    const body = await readJsonBody(context.req, {
      schema: dataCentreStateSchema,
      ...bodyLimits(context),
    });
    await reachBase(body, context);
    const change = withState(context, "dataCentres", { name, state: body.state });
    return await store([change], body, context);
  },
  "POST /backend-servers/*/state": async (context, name) => {
    requireSections(context.owner, ["backendServers"]);
    const body = await readJsonBody(context.req, {
      schema: backendServerStateSchema,
      ...bodyLimits(context),
    });
    await reachBase(body, context);
    const change = withState(context, "backendServers", { name, state: body.state });
    return await store([change], body, context);
  },
};

/** Finds the name in a path that matches a pattern, empty for a pattern without one. */
function matchPath(pattern: string, path: string): string | undefined {
  const wanted = pattern.split("/");
  const given = path.split("/");
  if (wanted.length !== given.length) return undefined;
  let name = "";
  for (const [index, part] of wanted.entries()) {
    if (part === "*") name = given[index]!;
    else if (part !== given[index]) return undefined;
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
    // Entry names need no percent encoding, so an encoded name matches no entry.
    if (routeMethod === method) return (context) => route(context, name);
  }
  if (isKnownPath) {
    throw new AdministrationError("method_not_allowed", `Method "${method}" is not allowed here`);
  }
  throw new AdministrationError("not_found", `No path "/admin/v1/config${path}"`);
}
