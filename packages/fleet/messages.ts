/**
 * Messages on the links between hosts, each a JSON object on one line.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";
import type { TextPatch } from "./_lib/text_patch.ts";
import type { HostEntry, RowBatch, Table } from "./types.ts";

/** Milliseconds since tables were read. */
export type TableAgesMs = Partial<Record<Table, Millis>>;

/** Revisions between which a reader of the store knows every change. */
export interface RevisionSpan {
  since: number;
  until: number;
}

/** A row that is sent as the difference from an older version. */
export interface RowPatch {
  key: string;
  /** Version of the row after the patch. */
  version: number;
  /** Version of the row that the patch applies to. */
  baseVersion: number;
  patch: TextPatch;
}

/**
 * Changes in the set of live hosts since the previous such message; the first one on a link lists
 * all live hosts.
 */
export interface HostsChange {
  /** Hosts that became live or restarted. */
  joined: HostEntry[];
  /** Names of hosts that are no longer live. */
  left: string[];
}

/**
 * Facts that every host should know. A host passes on what is new to it, so that they reach all hosts
 * without the store.
 */
export interface GossipMessage {
  type: "gossip";
  /** Facts, which their receiver checks. */
  items: unknown[];
}

/** Messages from a member to its hub. `Job` and `Report` are defined by the scheduler. */
export type MemberMessage<Job, Report> =
  | {
    type: "hello";
    entry: HostEntry;
    isDraining: boolean;
    reports: Report[];
    /** Revisions of the member's copies of the tables; the hub sends the changes since then. */
    revisions: Partial<Record<Table, number>>;
    /** Names of optional formats that the member understands; none in hosts of earlier releases. */
    understands?: string[];
  }
  /** `isDraining` is left out while it is false. */
  | { type: "ping"; isDraining?: boolean }
  | { type: "place"; call: number; job: Job }
  | { type: "report"; report: Report }
  | { type: "rows"; table: Table; batch: RowBatch }
  /** Requests the rows changed since a revision, after a patch did not match the member's rows. */
  | { type: "want"; table: Table; revision: number | undefined }
  /**
   * The member has just read a table from the store and sent the changes. Hosts of earlier releases
   * state nothing more, and mean the servers table.
   */
  | { type: "fresh"; table?: Table; span?: RevisionSpan }
  | GossipMessage
  /** Sent by a hub to a host without a link to it, on a connection of its own. */
  | { type: "invite"; hosts: RowBatch };

/** Optional format of a member that understands {@linkcode ShortView}. */
export const SHORT_VIEWS = "ages";

/** A view for members that state `SHORT_VIEWS`; its parser returns the view itself. */
export interface ShortView {
  type: "ages";
  /**
   * `ageMs` of the servers, operators and hosts tables, followed by `ownAgeMs` of each unless they are
   * the same; -1 for a table that was never read.
   */
  ms: number[];
  /** Missing when there was no outage. */
  recoveredAgoMs?: Millis;
}

/** Messages from a hub to a member. */
export type HubMessage<Decision> =
  | { type: "rows"; table: Table; batch: RowBatch; patches?: RowPatch[] }
  | {
    type: "view";
    /** Milliseconds since the hub or one of its members read the servers table. */
    ageMs: Millis;
    /** Milliseconds since the hub itself read the servers table. */
    ownAgeMs: Millis;
    /** `ageMs` of the other tables; hosts of earlier releases do not send it. */
    otherAgesMs?: TableAgesMs;
    /** `ownAgeMs` of the other tables, unless all are the same as in `otherAgesMs`. */
    otherOwnAgesMs?: TableAgesMs;
    /** Milliseconds since the last outage of the store ended; null when there was none. */
    recoveredAgoMs: Millis | null;
  }
  | { type: "hosts"; change: HostsChange }
  /** Requests the rows changed since a revision, because the member knows a later one. */
  | { type: "want"; table: Table; revision: number | undefined }
  | GossipMessage
  /** The job is queued; its decision follows later. */
  | { type: "waiting"; call: number }
  | { type: "placed"; call: number; decision: Decision };

/**
 * Parsers of the types that the scheduler defines. They throw a `DecodeError` for a value that is not
 * of their type, and leave out fields that are not part of it.
 */
export interface MessageParsers<Job, Decision, Report> {
  parseJob(value: unknown): Job;
  parseDecision(value: unknown): Decision;
  parseReport(value: unknown): Report;
}

/** Encoders of the same types, which leave out what their parsers do not need. */
export interface MessageEncoders<Job, Decision, Report> {
  encodeJob(job: Job): unknown;
  encodeDecision(decision: Decision): unknown;
  encodeReport(report: Report): unknown;
}
