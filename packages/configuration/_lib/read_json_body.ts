import type { IncomingMessage } from "node:http";
import type { z } from "zod";
import { AdministrationError } from "./administration_error.ts";
import { formatIssues } from "./format_issues.ts";

/** Limits of a body. */
export interface ReadJsonBodyOptions<T> {
  schema: z.ZodType<T>;
  maxBytes: number;
  signal: AbortSignal;
}

async function collect(req: IncomingMessage, maxBytes: number): Promise<Buffer> {
  const parts: Buffer[] = [];
  let size = 0;
  // Destroying the request would close the connection before the refusal is sent.
  for await (const part of req.iterator({ destroyOnReturn: false })) {
    size += part.length;
    if (size > maxBytes) {
      req.resume();
      throw new AdministrationError("too_large", `Body is larger than ${maxBytes} bytes`);
    }
    parts.push(part);
  }
  return Buffer.concat(parts);
}

/**
 * Reads a bounded JSON body and checks it.
 *
 * @param req the request
 * @param options schema, size limit in bytes and signal
 * @throws {AdministrationError} `too_large` or `bad_request`
 */
export async function readJsonBody<T>(
  req: IncomingMessage,
  options: ReadJsonBodyOptions<T>,
): Promise<T> {
  const { schema, maxBytes, signal } = options;
  // A caller that sends nothing more must not hold the request for ever.
  const onAbort = () => req.destroy(new Error("Body was not received in time"));
  signal.addEventListener("abort", onAbort, { once: true });
  let input: unknown;
  try {
    input = JSON.parse((await collect(req, maxBytes)).toString());
  } catch (err) {
    if (err instanceof AdministrationError) throw err;
    throw new AdministrationError("bad_request", "Body is not JSON", { cause: err });
  } finally {
    signal.removeEventListener("abort", onAbort);
  }
  const result = schema.safeParse(input);
  if (result.success) return result.data;
  const issues = formatIssues(result.error.issues);
  const [first] = issues;
  throw new AdministrationError("bad_request", `"${first?.path}": ${first?.message}`, { issues });
}
