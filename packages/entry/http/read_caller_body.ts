import type { IncomingMessage } from "node:http";
import type { ConnectionMemory, MemoryBudget } from "@jaypass/client_limits";
import type { RequestContext } from "./http_context.ts";
import { readBody } from "./read_body.ts";
import type { BufferedBody } from "./read_body.ts";

/**
 * Reads the body of a caller's request within the limits of the settings and of the memory for callers.
 *
 * @param req the caller's request
 * @param context settings, budget of all bodies and memory of the connection
 * @returns the body, to be released when the request has ended; until then it is not given up for the
 *     sake of other callers
 * @throws {BadRequestError} if a limit is exceeded or the body is truncated
 */
export async function readCallerBody(
  req: IncomingMessage,
  { settings, bodies, memory }: Pick<RequestContext, "settings" | "bodies" | "memory">,
): Promise<BufferedBody> {
  const { maxBodyBytes, bodyTimeoutMs } = settings.limits;
  const { bytes, release } = await readBody(req, {
    maxBytes: maxBodyBytes,
    timeoutMs: bodyTimeoutMs,
    budget: joinBudgets(bodies, memory),
  });
  memory.pin(bytes.length);
  return {
    bytes,
    release() {
      memory.pin(-bytes.length);
      release();
    },
  };
}

/** Creates a budget that reserves each byte from both. */
function joinBudgets(bodies: MemoryBudget, memory: ConnectionMemory): MemoryBudget {
  return {
    tryReserve(bytes) {
      if (!bodies.tryReserve(bytes)) return false;
      if (memory.tryReserve(bytes)) return true;
      bodies.release(bytes);
      return false;
    },
    release(bytes) {
      bodies.release(bytes);
      memory.release(bytes);
    },
    setGiveUp: (giveUp) => memory.setGiveUp(giveUp),
  };
}
