import { randomBytes } from "node:crypto";
import { hashWorkspace } from "./_lib/hash_workspace.ts";

/**
 * Creates the id of a request.
 *
 * The id names the host, so that any other host knows whom to ask for the answer, and carries a hash
 * of the workspace, so that a host that adopts the request can refuse other workspaces.
 *
 * @param host id of the accepting host
 * @param workspace id of the caller's workspace
 * @returns an unguessable id of URL-safe characters
 *
 * @example
 * createRequestId("h1", "school-12"); // "h1~5f0c9a1b~Zk3…"
 */
export function createRequestId(host: string, workspace: string): string {
  return `${host}~${hashWorkspace(workspace)}~${randomBytes(12).toString("base64url")}`;
}
