import type { IncomingMessage, ServerResponse } from "node:http";
import { QUARANTINE_MS } from "@jaypass/admission";
import { ADMINISTRATION_ERROR, findTokenOwner } from "@jaypass/configuration";
import type {
  AdministrationReason,
  HostsResponse,
  QuarantineResponse,
  StatusResponse,
  UnknownCallsResponse,
} from "@jaypass/configuration";
import { confirmHolderDead, LEASES_TABLE } from "@jaypass/leases";
import { z } from "zod";
import { createBodyBudget } from "../http/create_body_budget.ts";
import type { MountedHandler } from "../http/create_http_server.ts";
import { readBody } from "../http/read_body.ts";
import { sendJson } from "../http/send_json.ts";
import { HOST_STATUS_METHOD } from "../peer_methods.ts";
import { describeHostStatus, fetchHostStatuses } from "./fetch_host_statuses.ts";
import { explainRequest } from "./explain_request.ts";
import { listEngines } from "./list_engines.ts";
import type { OperatorContext } from "./operator_context.ts";

const PREFIX = "/admin/v1/";

/** Largest body of an operator's request. */
const MAX_BODY_BYTES = 64 * 1024;

/** Time for an operator's body to arrive, and for each call to the store. */
const CALL_TIMEOUT_MS = 5_000;

/** Unknown calls listed when the operator names no limit. */
const DEFAULT_CALL_LIMIT = 100;

const settleSchema = z.strictObject({
  workspace: z.string(),
  service: z.string(),
  key: z.string(),
  decision: z.enum(["done", "not_run"]),
  why: z.string().min(1),
});

const confirmDeadSchema = z.strictObject({
  host: z.string(),
  incarnation: z.string(),
  why: z.string().min(1),
});

/** A request that is refused with a reason of the administration interface. */
class OperatorError extends Error {
  override name = "OperatorError";

  constructor(readonly status: number, readonly reason: AdministrationReason, message: string) {
    super(message);
  }
}

type Route = (call: OperatorCall) => Promise<unknown>;

interface OperatorCall {
  req: IncomingMessage;
  path: string[];
  query: URLSearchParams;
  owner: string;
}

/**
 * Creates the operators' HTTP interface besides the configuration.
 *
 * Paths and bodies are described in `docs/administration.md`.
 *
 * @param context services of the host
 * @returns a handler for paths below `/admin/v1/`; every owner of a token may use it
 *
 * @example
 * const front = createFront({ ...options, mounted: [createOperatorHandler(context)] });
 */
export function createOperatorHandler(context: OperatorContext): MountedHandler {
  const startMs = context.clock.nowMs();
  context.server.handle(HOST_STATUS_METHOD, () => Promise.resolve(describeHostStatus(context)));

  const routes: Record<string, Route> = {
    "GET status": () => Promise.resolve(describeStatus(context, startMs)),
    "GET hosts": () => listHosts(context),
    "GET engines": async () => ({ engines: await listEngines(context) }),
    "GET calls/unknown": ({ query }) => listUnknownCalls(context, query),
    "POST calls/settle": (call) => settleCall(context, call),
    "POST leases/confirm-dead": (call) => confirmDead(context, call),
    "GET quarantine": () => Promise.resolve(listQuarantine(context)),
    "DELETE quarantine/*": ({ path, owner }) => releaseQuarantine(context, path[1]!, owner),
    "GET requests/*/explanation": ({ path }) => explain(context, path[1]!),
  };

  return async (req, res) => {
    const url = new URL(req.url ?? "/", "http://host");
    if (!url.pathname.startsWith(PREFIX)) return false;
    try {
      const owner = findTokenOwner(req.headers.authorization, context.tokens)?.owner;
      if (owner === undefined) {
        throw new OperatorError(401, ADMINISTRATION_ERROR.UNAUTHORIZED, "Token is not known");
      }
      const path = url.pathname.slice(PREFIX.length).split("/");
      const route = routes[`${req.method} ${path.join("/")}`] ??
        routes[`${req.method} ${[path[0], "*", ...path.slice(2)].join("/")}`];
      if (route === undefined) throw notFound(`Nothing is served at "${url.pathname}"`);
      const body = await route({ req, path, query: url.searchParams, owner });
      if (body === undefined) res.writeHead(204).end();
      else sendJson(res, body);
    } catch (err) {
      sendError(res, err, context);
    }
    return true;
  };
}

function sendError(res: ServerResponse, err: unknown, context: OperatorContext) {
  const known = err instanceof OperatorError ? err : undefined;
  if (known === undefined) context.log.warn({ err }, "Operator request failed");
  const reason = known?.reason ?? ADMINISTRATION_ERROR.STORE_UNAVAILABLE;
  const message = err instanceof Error ? err.message : String(err);
  sendJson(res, { error: { reason, message } }, { status: known?.status ?? 503 });
}

function notFound(message: string): OperatorError {
  return new OperatorError(404, ADMINISTRATION_ERROR.NOT_FOUND, message);
}

async function readInput<T>(req: IncomingMessage, schema: z.ZodType<T>): Promise<T> {
  const body = await readBody(req, {
    maxBytes: MAX_BODY_BYTES,
    timeoutMs: CALL_TIMEOUT_MS,
    budget: createBodyBudget(MAX_BODY_BYTES),
  });
  try {
    return schema.parse(JSON.parse(body.bytes.toString("utf8")));
  } catch (err) {
    throw new OperatorError(400, ADMINISTRATION_ERROR.BAD_REQUEST, (err as Error).message);
  }
}

function describeStatus(context: OperatorContext, startMs: number): StatusResponse {
  const self = context.membership.self();
  const isReady = context.configuration.revision() > 0;
  return {
    host: self.id,
    incarnation: self.incarnation,
    dataCentre: self.dataCentre,
    revision: context.configuration.revision(),
    state: context.drain.isDraining() ? "draining" : isReady ? "serving" : "starting",
    uptimeMs: Math.round(context.clock.nowMs() - startMs),
    counters: context.metrics.counters(),
  };
}

async function listHosts(context: OperatorContext): Promise<HostsResponse> {
  const answers = await fetchHostStatuses(context);
  const byId = new Map(answers.map((answer) => [answer.host.id, answer]));
  return {
    askedHost: context.membership.self().id,
    hosts: context.membership.hosts().map((host) => ({
      host: host.id,
      dataCentre: host.dataCentre,
      state: host.state,
      peerAddress: host.peerAddress,
      callerUrl: host.callerUrl,
      incarnation: host.incarnation,
      revision: byId.get(host.id)?.status?.revision ?? null,
    })),
  };
}

async function listUnknownCalls(
  context: OperatorContext,
  query: URLSearchParams,
): Promise<UnknownCallsResponse> {
  const limit = Number(query.get("limit") ?? DEFAULT_CALL_LIMIT);
  if (!Number.isInteger(limit) || limit < 1) {
    throw new OperatorError(400, ADMINISTRATION_ERROR.BAD_REQUEST, 'Query "limit" is not a number');
  }
  const calls = await context.ledger.listUnknown(limit);
  return {
    calls: calls.map(({ workspace, service, key, attempt = "", host = "" }) => ({
      workspace,
      service,
      key,
      attempt,
      host,
    })),
  };
}

async function settleCall(context: OperatorContext, { req, owner }: OperatorCall) {
  const { decision, why, ...call } = await readInput(req, settleSchema);
  await context.ledger.settle(call, decision);
  context.log.info({ ...call, decision, why, owner }, "Operator settled an unknown call");
}

async function confirmDead(context: OperatorContext, { req, owner }: OperatorCall) {
  const { why, ...holder } = await readInput(req, confirmDeadSchema);
  const options = { table: context.tables, timeoutMs: CALL_TIMEOUT_MS };
  const rows = await context.tables.list(LEASES_TABLE, { timeoutMs: CALL_TIMEOUT_MS });
  const leases: string[] = [];
  for (const row of rows) {
    if (await confirmHolderDead(row.key, holder, options)) leases.push(row.key);
  }
  context.log.info({ ...holder, leases, why, owner }, "Operator confirmed a holder's death");
  return { leases };
}

function listQuarantine({ admission, clock }: OperatorContext): QuarantineResponse {
  const entries = admission.quarantine.list().map(({ fingerprint, remainingMs }) => ({
    fingerprint,
    sinceMs: clock.wallMs() + remainingMs - QUARANTINE_MS,
    expiresInMs: remainingMs,
  }));
  return { entries };
}

async function releaseQuarantine(context: OperatorContext, fingerprint: string, owner: string) {
  const entries = context.admission.quarantine.list();
  if (!entries.some((entry) => entry.fingerprint === fingerprint)) {
    throw notFound(`Fingerprint "${fingerprint}" is not quarantined`);
  }
  await context.admission.quarantine.release(fingerprint);
  context.log.info({ fingerprint, owner }, "Operator released a quarantined request");
}

async function explain(context: OperatorContext, requestId: string) {
  const explanation = await explainRequest(decodeURIComponent(requestId), context);
  if (explanation === undefined) throw notFound(`Request "${requestId}" is not known`);
  return explanation;
}
