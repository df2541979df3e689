import { randomBytes } from "node:crypto";
import { hashName } from "./_lib/hash_name.ts";

/** Parts of a request id besides its host. */
export interface RequestIdOptions {
  workspace: string;
  /** Name of the model or plain service. */
  serves: string;
}

/**
 * Creates the id of a request.
 *
 * The id contains the host, so that any other host knows where to request the answer. It also
 * contains a hash of the workspace, so that a host that takes over the request can refuse other
 * workspaces, and a hash of the model, so that this host knows which engines may still run the
 * request.
 *
 * @param host id of the accepting host
 * @param options workspace and model
 * @returns an unguessable, URL-safe id
 *
 * @example
 * createRequestId("h1", { workspace: "school-12", serves: "lore-1" }); // "h1~5f0c~91ab~Zk3…"
 */
export function createRequestId(host: string, options: RequestIdOptions): string {
  const { workspace, serves } = options;
  const random = randomBytes(12).toString("base64url");
  return [host, hashName(workspace), hashName(serves), random].join("~");
}
