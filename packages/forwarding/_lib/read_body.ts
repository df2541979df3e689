import type { IncomingMessage } from "node:http";
import { finished } from "node:stream";
import { createBodyCollector } from "@jaypass/client_limits";
import type { MemoryBudget } from "@jaypass/client_limits";
import { FAILURE, ForwardingError } from "../errors.ts";
import { createBodyMemoryError } from "./create_body_memory_budget.ts";

/** Options of {@linkcode readBody}. */
export interface ReadBodyOptions {
  /** Largest size of a body. */
  maxBytes: number;
  /** Memory budget of the host; the caller of this function releases the length of the body. */
  memory: MemoryBudget;
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
  const declaredLength = Number(req.headers["content-length"] ?? 0);
  if (declaredLength > maxBytes) throw new ForwardingError(413, FAILURE.BODY_TOO_LARGE);
  const body = createBodyCollector(memory, createBodyMemoryError);
  try {
    await new Promise<void>((resolve, reject) => {
      memory.setGiveUp?.(() => {
        body.discard();
        req.off("data", onData);
        reject(createBodyMemoryError());
      });
      const onData = (piece: Buffer) => {
        try {
          if (body.length() + piece.length > maxBytes) {
            throw new ForwardingError(413, FAILURE.BODY_TOO_LARGE);
          }
          body.add(piece);
        } catch (err) {
          body.discard();
          req.off("data", onData);
          reject(err);
        }
      };
      req.on("data", onData);
      finished(req, { writable: false }, (err) => {
        // A whole body must not be given up: it would be sent on empty.
        memory.setGiveUp?.(undefined);
        if (err) reject(new ForwardingError(400, FAILURE.BODY_INCOMPLETE, { cause: err }));
        else resolve();
      });
    });
  } catch (err) {
    body.discard();
    throw err;
  } finally {
    memory.setGiveUp?.(undefined);
  }
  return body.finish();
}
