import type { IncomingMessage, ServerResponse } from "node:http";
import { createRequestId, FAILURE, RequestError } from "@jaypass/routing";
import { RAN } from "@jaypass/idempotency";
import { authenticateCaller } from "./authenticate_caller.ts";
import { createRequestDeadline } from "./create_request_deadline.ts";
import type { HttpContext } from "./http_context.ts";
import { readCallerBody } from "./read_caller_body.ts";

/**
 * Handles `POST /v1/services/{service}/{operation}`.
 *
 * The call goes on when its caller disconnects: a non-idempotent call that was sent is finished and
 * its result stored under its key.
 *
 * @param req the caller's request
 * @param res its response
 * @param context the front's parts and the path's names
 * @throws {BadRequestError | RequestError} when nothing was sent yet
 */
export async function handlePlainService(
  req: IncomingMessage,
  res: ServerResponse,
  context: HttpContext & { service: string; operation: string },
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
  const endTracking = context.drain.track(deadline.remainingMs());
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
      key: readKey(req),
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

function readKey(req: IncomingMessage): string | undefined {
  const key = req.headers["idempotency-key"];
  return Array.isArray(key) ? key[0] : key;
}
