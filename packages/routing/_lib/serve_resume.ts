import type { PeerContext } from "@jaypass/peers";
import { RAN } from "@jaypass/idempotency";
import type { AnswerStore } from "../create_answer_store.ts";
import { RequestError } from "../errors.ts";
import { FAILURE } from "../types.ts";

/** A request for the rest of an answer. */
interface ResumeRequest {
  requestId: string;
  workspace: string;
  from: number;
}

/** A message of the response stream. */
interface ResumeMessage {
  index?: number;
  texts?: string[];
  end?: {
    reason?: string;
    ran?: "not_run" | "unknown" | "ran";
    message?: string;
    retryAfterMs?: number | undefined;
  };
}

/**
 * Streams an answer of this host to another host.
 *
 * @param answers answers of this host
 * @param req id, workspace and offset
 * @param call context of the call, whose signal is aborted when the other host cancels
 */
export async function* serveResume(
  answers: AnswerStore,
  req: ResumeRequest,
  call: PeerContext,
): AsyncGenerator<ResumeMessage> {
  const entry = answers.find(req.requestId);
  if (entry === undefined || entry.answer.workspace !== req.workspace) {
    const message = `Request "${req.requestId}" is not known`;
    yield { end: { reason: FAILURE.UNKNOWN_REQUEST, ran: RAN.UNKNOWN, message } };
    return;
  }
  try {
    for await (const token of entry.follow(req.from, call.signal)) {
      yield { index: token.index, texts: [token.text] };
    }
    yield { end: {} };
  } catch (err) {
    if (!(err instanceof RequestError)) throw err;
    const { reason, ran, message, retryAfterMs } = err;
    yield { end: { reason, ran, message, retryAfterMs } };
  }
}
