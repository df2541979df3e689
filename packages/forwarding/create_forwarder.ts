import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { MAX_BUFFERED_BODY_BYTES, NO_CONFIGURATION_RETRY_AFTER_MS } from "./constants.ts";
import { chooseTarget } from "./choose_target.ts";
import { FAILURE, ForwardingError } from "./errors.ts";
import { createBodyMemoryBudget } from "./_lib/create_body_memory_budget.ts";
import type { BodyMemoryBudget } from "./_lib/create_body_memory_budget.ts";
import { readBody } from "./_lib/read_body.ts";
import type { CallerRequest, ForwardingContext } from "./_lib/request_context.ts";
import { runAttempts } from "./_lib/run_attempts.ts";
import { sendFailure } from "./_lib/send_failure.ts";
import { createPlainHandler } from "./_lib/create_plain_handler.ts";
import { createStreamHandler } from "./_lib/create_stream_handler.ts";
import { matchRoute } from "./match_route.ts";
import { ROUTE_KIND } from "./types.ts";
import type { CallerMetadata, Configuration, Route } from "./types.ts";

/** Forwards callers' requests to backend servers. */
export interface Forwarder {
  /** Answers one request; never fails. */
  handle(req: IncomingMessage, res: ServerResponse): Promise<void>;
  /** Requests that are being answered. */
  size(): number;
}

/** What a request may do, once its route and key are known. */
interface Admission {
  facts: CallerMetadata;
  configuration: Configuration;
  route: Route;
  service: string;
  workspace: string | undefined;
}

/** Bytes of a content hash; repeats of one request are told apart from others. */
const FINGERPRINT_HEX_DIGITS = 16;

/**
 * Creates the forwarder of a host.
 *
 * @param context the host
 * @returns the forwarder
 *
 * @example
 * const forwarder = createForwarder(context);
 * createServer((req, res) => void forwarder.handle(req, res));
 */
export function createForwarder(context: ForwardingContext): Forwarder {
  const memory = createBodyMemoryBudget(MAX_BUFFERED_BODY_BYTES);
  let size = 0;

  const serve = async (req: IncomingMessage, res: ServerResponse) => {
    const arrivalMs = context.clock.nowMs();
    const admission = admit(context, req);
    const body = await readBody(req, {
      maxBytes: admission.configuration.limits.maxBodyBytes,
      memory,
    });
    try {
      await forward(context, { req, res, admission, body, arrivalMs });
    } finally {
      releaseBody(memory, body);
    }
  };

  return {
    async handle(req, res) {
      size += 1;
      try {
        await serve(req, res);
      } catch (err) {
        answerFailure(context, req, res, err);
      } finally {
        size -= 1;
      }
    },
    size: () => size,
  };
}

function releaseBody(memory: BodyMemoryBudget, body: Buffer): void {
  memory.release(body.length);
}

/** Checks configuration, stop, route and key, in the order in which they can be told truthfully. */
function admit(context: ForwardingContext, req: IncomingMessage): Admission {
  const configuration = context.configuration();
  if (configuration === undefined) {
    throw new ForwardingError(503, FAILURE.NO_CONFIGURATION, {
      retryAfterMs: NO_CONFIGURATION_RETRY_AFTER_MS,
    });
  }
  const route = matchRoute(configuration, req.headers.host, req.url ?? "/");
  if (route === undefined) throw new ForwardingError(404, FAILURE.UNKNOWN_ROUTE);
  const facts = context.codec.readCaller(req.rawHeaders);
  const workspace = findWorkspace(configuration, route, facts);
  if (context.isRefusing()) {
    throw new ForwardingError(503, FAILURE.STOPPING, { retryAfterMs: 0 });
  }
  const service = chooseTarget(route, context.random);
  if (service === undefined) throw new ForwardingError(503, FAILURE.NO_SERVER);
  return { facts, configuration, route, service, workspace };
}

function findWorkspace(
  configuration: Configuration,
  route: Route,
  facts: CallerMetadata,
): string | undefined {
  if (route.isPublic || configuration.workspaceByKey === undefined) return undefined;
  const workspace = configuration.workspaceByKey.get(facts.key ?? "");
  if (workspace === undefined) throw new ForwardingError(401, FAILURE.UNKNOWN_KEY);
  return workspace;
}

interface Forwarding {
  req: IncomingMessage;
  res: ServerResponse;
  admission: Admission;
  body: Buffer;
  arrivalMs: number;
}

async function forward(context: ForwardingContext, forwarding: Forwarding): Promise<void> {
  const { req, res, admission, body, arrivalMs } = forwarding;
  const { facts, route, service, workspace } = admission;
  const timeoutMs = Math.min(route.timeoutMs, facts.deadlineMs ?? route.timeoutMs);
  const controller = new AbortController();
  const leftMs = arrivalMs + timeoutMs - context.clock.nowMs();
  const timer = setTimeout(() => controller.abort(), leftMs);
  const onClose = () => controller.abort();
  res.once("close", onClose);
  // The caller may have left while its body was read.
  if (res.destroyed || req.socket.destroyed) controller.abort();
  const request: CallerRequest = {
    id: facts.attemptId ?? createLocalId(context),
    method: req.method ?? "GET",
    target: req.url ?? "/",
    headers: req.rawHeaders,
    body,
    metadata: facts,
    route,
    service,
    workspace,
    fingerprint: computeFingerprint(req, facts, body),
    arrivalMs,
    endMs: arrivalMs + timeoutMs,
    signal: controller.signal,
    res,
  };
  const handler = route.kind === ROUTE_KIND.STREAMING
    ? createStreamHandler(context, request)
    : createPlainHandler(context, request);
  try {
    await runAttempts(context, request, handler);
    context.metrics.increment("answer", { route: route.name });
    context.metrics.timing("answer_ms", context.clock.nowMs() - arrivalMs, { route: route.name });
  } finally {
    clearTimeout(timer);
    res.removeListener("close", onClose);
  }
}

function createLocalId(context: ForwardingContext): string {
  return `local-${Math.floor(context.random() * Number.MAX_SAFE_INTEGER).toString(36)}`;
}

function computeFingerprint(req: IncomingMessage, facts: CallerMetadata, body: Buffer): string {
  return createHash("sha1").update(`${req.url}\n${facts.key ?? ""}\n`).update(body).digest("hex")
    .slice(0, FINGERPRINT_HEX_DIGITS);
}

/** Answers with a failure of the host's own, or breaks off an answer that has begun. */
function answerFailure(
  context: ForwardingContext,
  req: IncomingMessage,
  res: ServerResponse,
  err: unknown,
): void {
  const failure = err instanceof ForwardingError
    ? err
    : new ForwardingError(502, FAILURE.INTERNAL, { cause: err });
  const fields = {
    requestId: context.codec.readCaller(req.rawHeaders).attemptId,
    status: failure.status,
    reason: failure.reason,
    hasBegun: res.headersSent,
    hasCallerLeft: res.destroyed,
    err: failure.cause,
  };
  if (failure.reason === FAILURE.INTERNAL) context.log.error(fields, "Request failed");
  else context.log.info(fields, "Request not served");
  context.metrics.increment("refusal", { reason: failure.reason });
  if (res.destroyed) return;
  if (res.headersSent) res.destroy();
  else sendFailure(context, req, res, failure);
}
