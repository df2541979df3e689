import type { PeerMethod } from "@jaypass/peers";
import { z } from "zod";
import type { StoredChange } from "../types.ts";
import { storedChangeSchema } from "./stored_schemas.ts";

/** Asks for the changes after a revision. */
export interface ChangesRequest {
  after: number;
}

/** The changes, or none when the peer keeps only newer ones and a snapshot is needed. */
export interface ChangesResponse {
  /** Revision in force at the peer. */
  revision: number;
  changes: StoredChange[];
}

/** `Configuration.Changes`: missing changes. */
export const CHANGES_METHOD: PeerMethod<ChangesRequest, ChangesResponse> = {
  path: "/jaypass.Configuration/Changes",
  req: z.object({ after: z.int().min(0) }),
  res: z.object({ revision: z.int().min(0), changes: z.array(storedChangeSchema) }),
  streaming: false,
};

/** A part of an encoded snapshot. */
export interface SnapshotChunk {
  bytes: Uint8Array;
}

/** `Configuration.Snapshot`: the document in parts; no part when the peer has no document. */
export const SNAPSHOT_METHOD: PeerMethod<Record<string, never>, SnapshotChunk> = {
  path: "/jaypass.Configuration/Snapshot",
  req: z.object({}) as unknown as z.ZodType<Record<string, never>>,
  res: z.object({ bytes: z.instanceof(Uint8Array) }) as z.ZodType<SnapshotChunk>,
  streaming: true,
};
