import type { IncomingMessage } from "node:http";
import { FAILURE, ForwardingError } from "../errors.ts";
import type { BodyMemoryBudget } from "./create_body_memory_budget.ts";
import { reserveBodyMemory } from "./create_body_memory_budget.ts";

/** Options of {@linkcode readBody}. */
export interface ReadBodyOptions {
  /** Largest size of a body. */
  maxBytes: number;
  /** Memory budget of the host; the caller of this function releases the length of the body. */
  memory: BodyMemoryBudget;
}

/**
 * Reads the complete body of a request, so that it can be sent to more than one server.
 *
 * @param req the request
 * @param options size limit and memory budget
 * @returns the body; empty if there is none
 * @throws {ForwardingError} if it is too large, the memory budget is exhausted or the caller leaves
 *
 * @example
 * const body = await readBody(req, { maxBytes: 4_194_304, memory });
 */
export async function readBody(req: IncomingMessage, options: ReadBodyOptions): Promise<Buffer> {
  const { maxBytes, memory } = options;
  const chunks: Buffer[] = [];
  let length = 0;
  const declaredLength = Number(req.headers["content-length"] ?? 0);
  if (declaredLength > maxBytes) throw new ForwardingError(413, FAILURE.BODY_TOO_LARGE);
  try {
    // The default iterator closes the connection on an error, so that no answer could be sent.
    const readChunks: AsyncIterable<Buffer> = req.iterator({ destroyOnReturn: false });
    for await (const chunk of readChunks) {
      if (length + chunk.length > maxBytes) throw new ForwardingError(413, FAILURE.BODY_TOO_LARGE);
      reserveBodyMemory(memory, chunk.length);
      length += chunk.length;
      chunks.push(chunk);
    }
  } catch (err) {
    memory.release(length);
    if (err instanceof ForwardingError) throw err;
    throw new ForwardingError(400, FAILURE.BODY_INCOMPLETE, { cause: err });
  }
  const [only] = chunks;
  return chunks.length === 1 && only !== undefined ? only : Buffer.concat(chunks, length);
}
