import type { IncomingMessage, ServerResponse } from "node:http";
import { createRequestId, FAILURE, RequestError } from "@jaypass/routing";
import { RAN } from "@jaypass/idempotency";
import { authenticateCaller } from "./authenticate_caller.ts";
import { createRequestDeadline } from "./create_request_deadline.ts";
import type { RequestContext } from "./http_context.ts";
import { readCallerBody } from "./read_caller_body.ts";
import { trackRequest } from "./track_request.ts";

/**
 * Handles `POST /v1/services/{service}/{operation}`.
 *
 * A disconnected caller does not cancel the call: a non-idempotent call that was sent runs to its
 * end, and its result is stored under its idempotency key.
 *
 * @param req the caller's request
 * @param res its response
 * @param context shared services of the HTTP handlers, and the service and operation of the path
 * @throws {BadRequestError | RequestError} if the request fails before a response is sent
 */
export async function handlePlainService(
  req: IncomingMessage,
  res: ServerResponse,
  context: RequestContext & { service: string; operation: string },
): Promise<void> {
  const { configuration, membership, router, service, operation } = context;
  const caller = authenticateCaller(req, configuration.document());
  if (!caller.config.services.includes(service)) {
    throw new RequestError(`Workspace has no service "${service}"`, {
      reason: FAILURE.UNKNOWN_SERVICE,
      ran: RAN.NOT_RUN,
    });
  }
  const { deadline } = createRequestDeadline(req, context);
  const endTracking = trackRequest(context, deadline);
  let body;
  try {
    body = await readCallerBody(req, context);
    const requestId = createRequestId(membership.self().id, {
      workspace: caller.workspace,
      serves: service,
    });
    const result = await router.callService({
      requestId,
      workspace: caller.workspace,
      service,
      operation,
      body: body.bytes,
      contentType: req.headers["content-type"] ?? "application/octet-stream",
      key: readIdempotencyKey(req),
      deadline,
    });
    if (res.destroyed) return;
    res.writeHead(result.status, {
      "content-type": result.contentType,
      "content-length": result.body.length,
      "x-request-id": requestId,
      "x-replayed": String(result.replayed),
    });
    res.end(result.body);
  } finally {
    body?.release();
    deadline.clear();
    endTracking();
  }
}

function readIdempotencyKey(req: IncomingMessage): string | undefined {
  const key = req.headers["idempotency-key"];
  return Array.isArray(key) ? key[0] : key;
}
