import { randomBytes } from "node:crypto";
import { hashName } from "./_lib/hash_name.ts";

/** What a request id tells besides its host. */
export interface RequestIdOptions {
  workspace: string;
  /** Model or plain service. */
  serves: string;
}

/**
 * Creates the id of a request.
 *
 * The id names the host, so that any other host knows whom to ask for the answer. It carries a hash
 * of the workspace, so that a host that adopts the request can refuse other workspaces, and one of
 * the model, so that it knows which engines may still run it.
 *
 * @param host id of the accepting host
 * @param options workspace and model
 * @returns an unguessable id of URL-safe characters
 *
 * @example
 * createRequestId("h1", { workspace: "school-12", serves: "lore-1" }); // "h1~5f0c~91ab~Zk3…"
 */
export function createRequestId(host: string, options: RequestIdOptions): string {
  const { workspace, serves } = options;
  const random = randomBytes(12).toString("base64url");
  return [host, hashName(workspace), hashName(serves), random].join("~");
}
