import type { ZodType } from "zod";
import { z } from "zod";
import { MAX_ANSWER_BYTES } from "../constants.ts";
import { EngineError } from "../errors.ts";
import type { EngineErrorCode } from "../types.ts";
import type { Exchange } from "./open_exchange.ts";

const REFUSAL = z.object({
  error: z.object({
    code: z.string(),
    ran: z.enum(["not_run", "unknown", "ran"]),
    requestId: z.string().optional(),
  }),
});

const CODE_BY_REASON: Record<string, EngineErrorCode> = {
  overloaded: "overloaded",
  stale_fencing: "stale_fencing",
  restarted: "restarted",
  lost: "died",
};

/**
 * Reads a body that is not checked otherwise. An answer must have a length or chunks, because one
 * that ends with its connection and was cut cannot be told apart from a whole one.
 */
export async function readFramedBytes(exchange: Exchange): Promise<Buffer> {
  const { headers } = await exchange.head();
  const encoding = headers["transfer-encoding"];
  // A body has chunks only if they are its last transfer encoding.
  const isFramed = encoding === undefined
    ? headers["content-length"] !== undefined
    : /(?:^|,)\s*chunked\s*$/i.test(String(encoding));
  if (!isFramed) throw exchange.fail(protocolError("Answer has no length"));
  return await readBytes(exchange);
}

/** Reads the rest of the body into one buffer. */
async function readBytes(exchange: Exchange): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  let length = 0;
  for (let chunk = await exchange.read(); chunk; chunk = await exchange.read()) {
    chunks.push(chunk);
    length += chunk.length;
    if (length > MAX_ANSWER_BYTES) throw exchange.fail(protocolError("Answer is too large"));
  }
  return Buffer.concat(chunks, length);
}

/** Reads a JSON answer; throws if the server refused the request. */
export async function readJson<T>(
  exchange: Exchange,
  schema: ZodType<T>,
  requestId?: string,
): Promise<T> {
  const { status } = await exchange.head();
  if (status !== 200) throw await readRefusal(exchange, requestId);
  const parsed = schema.safeParse(parseJson(await readBytes(exchange)));
  if (!parsed.success) throw protocolError("Answer does not match the protocol", parsed.error);
  const answeredId = (parsed.data as { requestId?: string }).requestId;
  if (requestId !== undefined && answeredId !== requestId) throw crossedError(answeredId);
  return parsed.data;
}

/**
 * Reads a refusal and converts it to an error. A refusal proves that the request did not run only
 * if it names this request, because a refusal of another request says nothing about this one. A
 * call without an id therefore never counts as not run once it was written.
 */
export async function readRefusal(exchange: Exchange, requestId?: string): Promise<EngineError> {
  const { status } = await exchange.head();
  const parsed = REFUSAL.safeParse(parseJson(await readBytes(exchange)));
  if (!parsed.success) return protocolError(`Answer with status "${status}" names no reason`);
  const { code: reason, ran, requestId: answeredId } = parsed.data.error;
  if (requestId !== undefined && answeredId !== undefined && answeredId !== requestId) {
    return crossedError(answeredId);
  }
  const isNamed = requestId !== undefined && answeredId === requestId;
  return new EngineError(`Refused by the server: "${reason}"`, {
    code: CODE_BY_REASON[reason] ?? "rejected",
    ran: ran === "not_run" && !isNamed ? "unknown" : ran,
    reason,
  });
}

/** Creates the error for an answer that violates the protocol; the request may have run. */
export function protocolError(message: string, cause?: unknown): EngineError {
  return new EngineError(message, { code: "protocol", ran: "unknown", cause });
}

/** Creates the error for an answer to another request; this request may have run. */
export function crossedError(answeredId: string | undefined): EngineError {
  const message = `Answer belongs to request "${answeredId ?? ""}"`;
  return new EngineError(message, { code: "crossed", ran: "unknown" });
}

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString());
  } catch {
    return undefined;
  }
}
