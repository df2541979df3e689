/**
 * Messages on links between hosts: one JSON object a line.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";
import type { TextPatch } from "./_lib/text_patch.ts";
import type { HostEntry, RowBatch, Table } from "./types.ts";

/** A row whose content is described by that of an older version. */
export interface RowPatch {
  key: string;
  /** Version that the patch makes. */
  version: number;
  /** Version that it is made for. */
  baseVersion: number;
  patch: TextPatch;
}

/** Live hosts that came and went since the message before; the first one of a link names all. */
export interface HostsChange {
  /** Hosts that are live now. */
  joined: HostEntry[];
  /** Names of hosts that are not live any more. */
  left: string[];
}

/** Messages of a host to its hub. `Job` and `Report` are the placement's own. */
export type MemberMessage<Job, Report> =
  | {
    type: "hello";
    entry: HostEntry;
    isDraining: boolean;
    reports: Report[];
    /** Revisions of the tables that the host knows, so that it gets what it lacks. */
    revisions: Partial<Record<Table, number>>;
  }
  | { type: "ping"; isDraining: boolean }
  | { type: "place"; call: number; job: Job }
  | { type: "report"; report: Report }
  | { type: "rows"; table: Table; batch: RowBatch }
  /** Asks for all that the host's copy of a table lacks, since a patch did not fit it. */
  | { type: "want"; table: Table; revision: number | undefined }
  /** The host has just read the servers' rows in the store, and passed on what changed. */
  | { type: "fresh" }
  | { type: "invite"; hosts: RowBatch };

/** Messages of a hub to a host. */
export type HubMessage<Decision> =
  | { type: "rows"; table: Table; batch: RowBatch; patches?: RowPatch[] }
  | {
    type: "view";
    /** Time since the hub or one of its members read the servers' rows. */
    ageMs: Millis;
    /** Time since the hub itself read them. */
    ownAgeMs: Millis;
    recoveredAgoMs: Millis | null;
  }
  | { type: "hosts"; change: HostsChange }
  | { type: "waiting"; call: number }
  | { type: "placed"; call: number; decision: Decision };
