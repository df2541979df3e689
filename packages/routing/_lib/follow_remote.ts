import { GRANT_OUTCOME } from "@jaypass/admission";
import { RAN } from "@jaypass/idempotency";
import { PEER_FAILURE, PeerError } from "@jaypass/peers";
import {
  ENGINE_CALL_TIMEOUT_MS,
  ENGINE_IDLE_TIMEOUT_MS,
  FOLLOW_TIMEOUT_MS,
  RESUME_GRACE_MS,
} from "../constants.ts";
import { RequestError } from "../errors.ts";
import { parseRequestId } from "../parse_request_id.ts";
import { RESUME_METHOD } from "../peer_methods.ts";
import { FAILURE } from "../types.ts";
import type { AnswerToken, FollowOptions } from "../types.ts";
import { findRunningAttempt } from "./find_running_attempt.ts";
import type { RouterContext } from "./router_context.ts";

/**
 * Streams the rest of an answer whose request another host accepted.
 *
 * The accepting host is asked first. If it does not answer, the stream is resumed at the engine
 * that runs the request, which is named by the coordinator that granted it or found by asking the
 * engines.
 *
 * @param requestId id, which contains the accepting host
 * @param options workspace, offset and the caller's signal
 * @param context shared services of the router
 * @throws {RequestError} if the answer failed or is unknown
 */
export async function* followRemote(
  requestId: string,
  options: FollowOptions,
  context: RouterContext,
): AsyncGenerator<AnswerToken> {
  const parsed = parseRequestId(requestId);
  if (!parsed?.belongsToWorkspace(options.workspace)) throw createUnknownRequestError(requestId);
  let from = options.from;
  const host = context.membership.find(parsed.host);
  if (host && host.id !== context.membership.self().id) {
    try {
      for await (const token of followAtHost(host.peerAddress, requestId, options, context)) {
        from = token.index + 1;
        yield token;
      }
      return;
    } catch (err) {
      if (!(err instanceof PeerError) || options.signal.aborted) throw err;
      context.log.info(
        { requestId, host: host.id, err },
        "Accepting host did not answer; looking for the engine that runs the request",
      );
    }
  }
  yield* followAtEngine(requestId, { ...options, from }, context);
}

async function* followAtHost(
  address: string,
  requestId: string,
  options: FollowOptions,
  context: RouterContext,
): AsyncGenerator<AnswerToken> {
  const { workspace, from, signal } = options;
  const messages = context.peers.stream(address, RESUME_METHOD, { requestId, workspace, from }, {
    timeoutMs: FOLLOW_TIMEOUT_MS,
    signal,
  });
  for await (const message of messages) {
    const index = message.index ?? 0;
    for (const [i, text] of (message.texts ?? []).entries()) yield { index: index + i, text };
    if (message.end?.reason) {
      throw new RequestError(message.end.message ?? "Request failed", {
        reason: message.end.reason,
        ran: message.end.ran ?? RAN.UNKNOWN,
        retryAfterMs: message.end.retryAfterMs,
      });
    }
    if (message.end) return;
  }
  throw new PeerError("Stream of the accepting host ended without its last message", {
    reason: PEER_FAILURE.CONNECTION_LOST,
    ran: "unknown",
  });
}

async function* followAtEngine(
  requestId: string,
  options: FollowOptions,
  context: RouterContext,
): AsyncGenerator<AnswerToken> {
  const attempt = await findRunningAttempt(requestId, options.signal, context);
  if (attempt === undefined) throw createUnknownRequestError(requestId);
  context.decisions.add(requestId, "adopted", { engine: attempt.engine.url });
  try {
    const events = attempt.engine.resume(attempt.attemptId, options.from, {
      timeoutMs: attempt.remainingMs,
      idleTimeoutMs: ENGINE_IDLE_TIMEOUT_MS + RESUME_GRACE_MS,
      signal: options.signal,
    });
    for await (const event of events) {
      if (event.type === "token") yield { index: event.index, text: event.text };
    }
    attempt.releaseGrant(GRANT_OUTCOME.DONE);
  } catch (err) {
    attempt.releaseGrant(GRANT_OUTCOME.CANCELLED);
    await attempt.engine.cancel(attempt.attemptId, { timeoutMs: ENGINE_CALL_TIMEOUT_MS })
      .catch(() => context.metrics.increment("engine.cancel_failed"));
    throw new RequestError("The engine no longer holds the answer", {
      reason: FAILURE.HOST_GONE,
      ran: RAN.RAN,
      cause: err,
    });
  }
}

/**
 * Creates the error for an unknown id. Ids of other workspaces get the same error, so that it does
 * not reveal which ids exist.
 */
export function createUnknownRequestError(requestId: string): RequestError {
  return new RequestError(`Request "${requestId}" is not known`, {
    reason: FAILURE.UNKNOWN_REQUEST,
    ran: RAN.UNKNOWN,
  });
}
