import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { ConfigDocument, WorkspaceConfig } from "@jaypass/configuration";
import { BAD_REQUEST } from "../constants.ts";
import { BadRequestError } from "../errors.ts";

/** The workspace that a caller belongs to. */
export interface Caller {
  workspace: string;
  config: WorkspaceConfig;
}

/** Workspaces by key hash, built once for each configuration document. */
const indexes = new WeakMap<object, Map<string, string>>();

/**
 * Finds the workspace of a caller by its key.
 *
 * Keys are looked up by their SHA-256 hash, so that the duration of the lookup reveals nothing
 * about a key. A missing and a wrong key get the same response.
 *
 * @param req request with `authorization: Bearer KEY`
 * @param document the current configuration
 * @returns the caller's workspace
 * @throws {BadRequestError} with status 401
 *
 * @example
 * const caller = authenticateCaller(req, configuration.document());
 */
export function authenticateCaller(
  req: IncomingMessage,
  document: Readonly<ConfigDocument>,
): Caller {
  const key = /^Bearer (\S+)$/i.exec(req.headers.authorization ?? "")?.[1] ?? "";
  const workspace = getIndex(document).get(createHash("sha256").update(key).digest("hex"));
  const config = workspace === undefined ? undefined : document.workspaces[workspace];
  if (workspace === undefined || config === undefined) {
    throw new BadRequestError("No workspace has this key", {
      status: 401,
      reason: BAD_REQUEST.UNAUTHORIZED,
    });
  }
  return { workspace, config };
}

function getIndex(document: Readonly<ConfigDocument>): Map<string, string> {
  let index = indexes.get(document.workspaces);
  if (index === undefined) {
    const entries = Object.entries(document.workspaces);
    index = new Map(entries.map(([workspace, config]) => [config.keyHash, workspace]));
    indexes.set(document.workspaces, index);
  }
  return index;
}
