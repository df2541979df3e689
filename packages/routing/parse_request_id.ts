import { hashName } from "./_lib/hash_name.ts";

/** Parsed request id. */
export interface ParsedRequestId {
  /** Id of the host that accepted the request. */
  host: string;
  /** Reports whether the request belongs to a workspace. */
  belongsToWorkspace(workspace: string): boolean;
  /** Reports whether the request is for the model or plain service with this name. */
  targets(serves: string): boolean;
}

/**
 * Parses a request id.
 *
 * @param requestId an id as returned by `createRequestId`, or any text from a caller
 * @returns the parsed id, or `undefined` if it is malformed
 *
 * @example
 * parseRequestId("h1~5f0c9a1b~91ab03cd~Zk3")?.host; // "h1"
 */
export function parseRequestId(requestId: string): ParsedRequestId | undefined {
  const [host, workspaceHash, servesHash, random, ...rest] = requestId.split("~");
  if (!host || !workspaceHash || !servesHash || !random || rest.length > 0) return undefined;
  return {
    host,
    belongsToWorkspace: (workspace) => hashName(workspace) === workspaceHash,
    targets: (serves) => hashName(serves) === servesHash,
  };
}
