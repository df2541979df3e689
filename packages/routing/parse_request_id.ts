import { hashWorkspace } from "./_lib/hash_workspace.ts";

/** The parts of a request id that a host needs. */
export interface ParsedRequestId {
  /** Id of the host that accepted the request. */
  host: string;
  /** Reports whether the request belongs to a workspace. */
  isOf(workspace: string): boolean;
}

/**
 * Reads the host and the workspace hash from a request id.
 *
 * @param requestId as returned by `createRequestId`, possibly made up by a caller
 * @returns the parts, or `undefined` when the id has another form
 *
 * @example
 * parseRequestId("h1~5f0c9a1b~Zk3")?.host; // "h1"
 */
export function parseRequestId(requestId: string): ParsedRequestId | undefined {
  const [host, hash, random, ...rest] = requestId.split("~");
  if (!host || !hash || !random || rest.length > 0) return undefined;
  return { host, isOf: (workspace) => hashWorkspace(workspace) === hash };
}
