import type { IncomingMessage } from "node:http";
import type { z } from "zod";
import { AdministrationError } from "./administration_error.ts";
import { formatIssues } from "./format_issues.ts";

/** Options of {@linkcode readJsonBody}. */
export interface ReadJsonBodyOptions<T> {
  schema: z.ZodType<T>;
  maxBytes: number;
  signal: AbortSignal;
}

async function readBody(req: IncomingMessage, maxBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  // Destroying the request would close the connection before the error response is sent.
  for await (const chunk of req.iterator({ destroyOnReturn: false })) {
    size += chunk.length;
    if (size > maxBytes) {
      req.resume();
      throw new AdministrationError("too_large", `Body is larger than ${maxBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/**
 * Reads a JSON body of limited size and validates it.
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
  // Ends the request of a caller that stops sending before the body is complete.
  const onAbort = () => req.destroy(new Error("Request body was not received before the timeout"));
  signal.addEventListener("abort", onAbort, { once: true });
  let input: unknown;
  try {
    input = JSON.parse((await readBody(req, maxBytes)).toString());
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
