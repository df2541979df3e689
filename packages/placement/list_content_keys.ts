import type { PlacementJob } from "./types.ts";

/**
 * Lists the keys by which requests with the same content are recognized: one for each part of the
 * prompt, and one for the request as a whole.
 *
 * @param job a job, or its content
 * @returns keys, each at most once
 *
 * @example
 * listContentKeys({ parts: ["5c1e"], fingerprint: "9a" }); // ["part:5c1e", "request:9a"]
 */
export function listContentKeys({ parts, fingerprint }: JobContent): string[] {
  return [...new Set([...parts.map((part) => `part:${part}`), `request:${fingerprint}`])];
}

/** The fields of a job that describe its content. */
export type JobContent = Pick<PlacementJob, "parts" | "fingerprint">;
