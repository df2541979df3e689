import type { IncomingMessage } from "node:http";
import { HEADER_LINE_COST_BYTES, REQUEST_COST_BYTES } from "./constants.ts";
import { countHeaderBytes } from "./count_header_bytes.ts";

/**
 * Counts the memory of a request in progress without its body.
 *
 * @param req the request
 * @returns number of bytes
 */
export function countHeadCost(
  req: Pick<IncomingMessage, "method" | "url" | "rawHeaders">,
): number {
  const lines = req.rawHeaders.length / 2;
  return REQUEST_COST_BYTES + countHeaderBytes(req) + lines * HEADER_LINE_COST_BYTES;
}
