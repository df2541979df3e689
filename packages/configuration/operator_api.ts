/**
 * JSON shapes of the administration interface, shared by entry hosts and the command line.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";
import type { ConfigurationIssue } from "./errors.ts";
import type { ConfigChange, ConfigDocument, SectionChange, SectionName } from "./types.ts";

/** Why an administration request failed. */
export const ADMINISTRATION_ERROR = {
  BAD_REQUEST: "bad_request",
  UNAUTHORIZED: "unauthorized",
  FORBIDDEN: "forbidden",
  NOT_FOUND: "not_found",
  METHOD_NOT_ALLOWED: "method_not_allowed",
  TOO_LARGE: "too_large",
  /** Entries of the request were changed after its base revision. */
  CONFLICT: "conflict",
  NOT_VALID: "not_valid",
  /** This host has no document yet. */
  NOT_READY: "not_ready",
  /** This attempt changed nothing; an earlier one with the same change id may have. */
  STORE_UNAVAILABLE: "store_unavailable",
  /** The store shows a lower revision than the one in force. */
  STORE_BEHIND: "store_behind",
  /** The change may take effect; repeat it with the same change id and base revision. */
  OUTCOME_UNKNOWN: "outcome_unknown",
  INTERNAL: "internal",
} as const;

/** A reason of {@linkcode ADMINISTRATION_ERROR}. */
export type AdministrationReason = typeof ADMINISTRATION_ERROR[keyof typeof ADMINISTRATION_ERROR];

/** Body of every failed request. */
export interface AdministrationErrorBody {
  error: {
    reason: AdministrationReason;
    message: string;
    /** Faults of the document, with `not_valid` and `bad_request`. */
    issues?: readonly ConfigurationIssue[];
    /** The change that won, with `conflict`. */
    change?: ConfigChange;
    /** Id to repeat the request with, with `outcome_unknown`. */
    changeId?: string;
  };
}

/** `GET /admin/v1/config`, with `?revision=REVISION` an earlier content. */
export interface ConfigResponse {
  revision: number;
  document: ConfigDocument;
}

/** `GET /admin/v1/config/revision`. */
export interface RevisionResponse {
  revision: number;
  changeId: string;
}

/** `GET /admin/v1/config/sections/SECTION`, with `?revision=REVISION` an earlier content. */
export interface SectionResponse {
  revision: number;
  section: SectionName;
  entries: Record<string, unknown>;
}

/** A value that differs. */
export interface Difference {
  section: string;
  entry: string;
  /** Path inside the entry, empty when the whole entry is added or removed. */
  path: string;
  /** Absent when the value is added. */
  before?: unknown;
  /** Absent when the value is removed. */
  after?: unknown;
}

/** `POST /admin/v1/config/diff`. */
export interface DiffRequest {
  changes: SectionChange[];
}

/** Answer to {@linkcode DiffRequest}; a document that is not valid is refused instead. */
export interface DiffResponse {
  revision: number;
  differences: Difference[];
}

/** What every changing request carries. */
export interface ChangeEnvelope {
  /** Reason for the history. */
  why: string;
  /** Revision that the operator has seen; by default the one in force on the asked host. */
  baseRevision?: number;
  /** Id chosen by the caller, so that a repeat is recognized; needs `baseRevision`. */
  changeId?: string;
}

/** `POST /admin/v1/config/apply`. */
export interface ApplyRequest extends ChangeEnvelope {
  changes: SectionChange[];
}

/** `POST /admin/v1/config/roll-forward`. */
export interface RollForwardRequest extends ChangeEnvelope {
  /** Revision whose content becomes the newest. */
  toRevision: number;
  /** Sections to take; all by default. */
  sections?: SectionName[];
}

/** `POST /admin/v1/config/data-centres/NAME/state`. */
export interface DataCentreStateRequest extends ChangeEnvelope {
  state: "in" | "out";
}

/** `POST /admin/v1/config/backend-servers/NAME/state`. */
export interface BackendServerStateRequest extends ChangeEnvelope {
  state: "in" | "leaving";
}

/** Answer to a changing request. */
export interface ApplyResponse {
  /** Revision of the change, or the one in force when nothing had to change. */
  revision: number;
  changeId: string;
  isUnchanged: boolean;
  differences: Difference[];
}

/** `GET /admin/v1/config/history?limit=20&before=REVISION`; newest first. */
export interface HistoryResponse {
  changes: ConfigChange[];
  /** Value of `before` for the next page; absent on the last one. */
  nextBefore?: number;
}

/** `GET /admin/v1/status`. */
export interface StatusResponse {
  host: string;
  incarnation: string;
  dataCentre: string;
  /** Configuration revision in force; 0 before the first document. */
  revision: number;
  state: "starting" | "serving" | "draining";
  uptimeMs: Millis;
  /** All counters since the start, keyed by name and tags. */
  counters: Record<string, number>;
}

/** A host as the asked host sees it. */
export interface HostSummary {
  host: string;
  dataCentre: string;
  state: "alive" | "suspect" | "dead" | "leaving";
  peerAddress: string;
  callerUrl: string;
  incarnation: string;
  /** Revision that the host itself reports; `null` when it does not answer. */
  revision: number | null;
}

/** `GET /admin/v1/hosts`. */
export interface HostsResponse {
  /** The host that was asked. */
  askedHost: string;
  hosts: HostSummary[];
}

/** A backend server as its pool's coordinator sees it. */
export interface EngineSummary {
  name: string;
  pool: string;
  serves: string;
  dataCentre: string;
  /** `unknown` when its coordinator does not answer. */
  state: "cold" | "warming" | "warm" | "leaving" | "down" | "unknown";
  /** Concurrent requests allowed now. */
  limit: number;
  running: number;
  waiting: number;
  freeMemoryTokens: number;
  /** Peer address of the coordinator; `null` while the pool has none. */
  coordinator: string | null;
}

/** `GET /admin/v1/engines`. */
export interface EnginesResponse {
  engines: EngineSummary[];
}

/** A quarantined request body. */
export interface QuarantineEntry {
  fingerprint: string;
  /** Wall time, for people. */
  sinceMs: Millis;
  expiresInMs: Millis;
}

/** `GET /admin/v1/quarantine`; `DELETE /admin/v1/quarantine/FINGERPRINT` answers 204. */
export interface QuarantineResponse {
  entries: QuarantineEntry[];
}

/** A non-idempotent call whose outcome is unknown. */
export interface UnknownCall {
  workspace: string;
  service: string;
  key: string;
  attempt: string;
  host: string;
}

/** `GET /admin/v1/calls/unknown?limit=100`. */
export interface UnknownCallsResponse {
  calls: UnknownCall[];
}

/** `POST /admin/v1/calls/settle`; answers 204. */
export interface SettleRequest {
  workspace: string;
  service: string;
  key: string;
  decision: "done" | "not_run";
  why: string;
}

/** `POST /admin/v1/leases/confirm-dead`. */
export interface ConfirmDeadRequest {
  /** Host whose process is known to have ended. */
  host: string;
  incarnation: string;
  why: string;
}

/** Answer to {@linkcode ConfirmDeadRequest}. */
export interface ConfirmDeadResponse {
  /** Leases whose retained share of that holder was dropped. */
  leases: string[];
}

/** One step in the life of a request. */
export interface ExplanationStep {
  /** Milliseconds after the request was accepted. */
  atMs: Millis;
  /** Short name, for example `admitted`, `granted`, `dispatched`, `first_token`. */
  step: string;
  detail: string;
}

/** `GET /admin/v1/requests/ID/explanation`. */
export interface ExplanationResponse {
  requestId: string;
  host: string;
  workspace: string;
  outcome: string;
  steps: ExplanationStep[];
}
