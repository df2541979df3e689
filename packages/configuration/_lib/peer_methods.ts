import type { PeerMethod } from "@jaypass/peers";
import { z } from "zod";
import type { StoredChange } from "../types.ts";
import { storedChangeSchema } from "./stored_schemas.ts";

/** Request for the changes after a revision. */
export interface ChangesRequest {
  after: number;
}

/**
 * Response to {@linkcode ChangesRequest}.
 *
 * Has no changes when the peer keeps only later ones, so that a snapshot is needed.
 */
export interface ChangesResponse {
  /** Current revision of the peer. */
  revision: number;
  changes: StoredChange[];
}

/** `Configuration.Changes`: returns the changes after a revision. */
export const CHANGES_METHOD: PeerMethod<ChangesRequest, ChangesResponse> = {
  path: "/jaypass.Configuration/Changes",
  req: z.object({ after: z.int().min(0) }),
  res: z.object({ revision: z.int().min(0), changes: z.array(storedChangeSchema) }),
  streaming: false,
};

/** A chunk of an encoded snapshot. */
export interface SnapshotChunk {
  bytes: Uint8Array;
}

/** `Configuration.Snapshot`: streams a snapshot in chunks; none when the peer has no document. */
export const SNAPSHOT_METHOD: PeerMethod<Record<string, never>, SnapshotChunk> = {
  path: "/jaypass.Configuration/Snapshot",
  req: z.object({}) as unknown as z.ZodType<Record<string, never>>,
  res: z.object({ bytes: z.instanceof(Uint8Array) }) as z.ZodType<SnapshotChunk>,
  streaming: true,
};
