import { hashName } from "./_lib/hash_name.ts";

/** The parts of a request id that a host needs. */
export interface ParsedRequestId {
  /** Id of the host that accepted the request. */
  host: string;
  /** Reports whether the request belongs to a workspace. */
  belongsToWorkspace(workspace: string): boolean;
  /** Reports whether the request is for a model or plain service. */
  targets(serves: string): boolean;
}

/**
 * Reads the host and the hashes from a request id.
 *
 * @param requestId as returned by `createRequestId`, possibly made up by a caller
 * @returns the parts, or `undefined` when the id has another form
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
