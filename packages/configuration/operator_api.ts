/**
 * JSON types of the administration interface, shared by the hosts and the command line.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";
import type { ConfigurationIssue } from "./errors.ts";
import type { ConfigChange, ConfigDocument, SectionChange, SectionName } from "./types.ts";

/** Reasons for which an administration request fails. */
export const ADMINISTRATION_ERROR = {
  BAD_REQUEST: "bad_request",
  UNAUTHORIZED: "unauthorized",
  FORBIDDEN: "forbidden",
  NOT_FOUND: "not_found",
  METHOD_NOT_ALLOWED: "method_not_allowed",
  TOO_LARGE: "too_large",
  /** Entries of the request have changed since its base revision. */
  CONFLICT: "conflict",
  NOT_VALID: "not_valid",
  /** This host has no document yet. */
  NOT_READY: "not_ready",
  /** This attempt changed nothing; an earlier one with the same change id may have succeeded. */
  STORE_UNAVAILABLE: "store_unavailable",
  /** The store is at a lower revision than this host. */
  STORE_BEHIND: "store_behind",
  /** The change may still take effect; repeat it with the same change id and base revision. */
  OUTCOME_UNKNOWN: "outcome_unknown",
  INTERNAL: "internal",
} as const;

/** A reason of {@linkcode ADMINISTRATION_ERROR}. */
export type AdministrationReason = typeof ADMINISTRATION_ERROR[keyof typeof ADMINISTRATION_ERROR];

/** Response body of a failed request. */
export interface AdministrationErrorBody {
  error: {
    reason: AdministrationReason;
    message: string;
    /** Validation errors, for `not_valid` and `bad_request`. */
    issues?: readonly ConfigurationIssue[];
    /** The conflicting change, for `conflict`. */
    change?: ConfigChange;
    /** Change id with which to repeat the request, for `outcome_unknown`. */
    changeId?: string;
  };
}

/** `GET /admin/v1/config`; `?revision=REVISION` selects an earlier revision. */
export interface ConfigResponse {
  revision: number;
  document: ConfigDocument;
}

/** `GET /admin/v1/config/revision`. */
export interface RevisionResponse {
  revision: number;
  changeId: string;
}

/** `GET /admin/v1/config/sections/SECTION`; `?revision=REVISION` selects an earlier revision. */
export interface SectionResponse {
  revision: number;
  section: SectionName;
  entries: Record<string, unknown>;
}

/** A value that a change adds, removes or replaces. */
export interface Difference {
  section: string;
  entry: string;
  /** Path inside the entry; empty when the whole entry is added or removed. */
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

/** Response to {@linkcode DiffRequest}; an invalid document is refused with `not_valid`. */
export interface DiffResponse {
  revision: number;
  differences: Difference[];
}

/** Fields of every request that changes the configuration. */
export interface ChangeEnvelope {
  /** Reason for the change, which is recorded in the history. */
  why: string;
  /** Revision on which the change is based; by default the current one of the addressed host. */
  baseRevision?: number;
  /** Id chosen by the caller, by which a repeated request is recognized; needs `baseRevision`. */
  changeId?: string;
}

/** `POST /admin/v1/config/apply`. */
export interface ApplyRequest extends ChangeEnvelope {
  changes: SectionChange[];
}

/** `POST /admin/v1/config/roll-forward`. */
export interface RollForwardRequest extends ChangeEnvelope {
  /** Revision whose content is restored as the newest revision. */
  toRevision: number;
  /** Sections to restore; all by default. */
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

/** Response to a request that changes the configuration. */
export interface ApplyResponse {
  /** Revision of the change, or the current one when nothing had to change. */
  revision: number;
  changeId: string;
  isUnchanged: boolean;
  differences: Difference[];
}

/** `GET /admin/v1/config/history?limit=20&before=REVISION`; newest first. */
export interface HistoryResponse {
  changes: ConfigChange[];
  /** Value of `before` for the next page; absent on the last page. */
  nextBefore?: number;
}

/** `GET /admin/v1/status`. */
export interface StatusResponse {
  host: string;
  incarnation: string;
  dataCentre: string;
  /** Current configuration revision; 0 while the host has no document. */
  revision: number;
  state: "starting" | "serving" | "draining";
  uptimeMs: Millis;
  /** Counters since the start of the process, keyed by name and tags. */
  counters: Record<string, number>;
}

/** A host as the addressed host sees it. */
export interface HostSummary {
  host: string;
  dataCentre: string;
  state: "alive" | "suspect" | "dead" | "leaving";
  peerAddress: string;
  callerUrl: string;
  incarnation: string;
  /** Configuration revision that the host reports; `null` when it does not answer. */
  revision: number | null;
}

/** `GET /admin/v1/hosts`. */
export interface HostsResponse {
  /** Id of the host that answered the request. */
  askedHost: string;
  hosts: HostSummary[];
}

/** A backend server as the coordinator of its pool sees it. */
export interface EngineSummary {
  name: string;
  pool: string;
  serves: string;
  dataCentre: string;
  /** `unknown` when its coordinator does not answer. */
  state: "cold" | "warming" | "warm" | "leaving" | "down" | "unknown";
  /** Number of concurrent requests that are allowed at present. */
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

/** A quarantined request body, identified by its fingerprint. */
export interface QuarantineEntry {
  fingerprint: string;
  /** Wall time of the quarantine in milliseconds since the Unix epoch; only for display. */
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

/** Response to {@linkcode ConfirmDeadRequest}. */
export interface ConfirmDeadResponse {
  /** Leases that no longer reserve the share of the ended holder. */
  leases: string[];
}

/** An event in the processing of a request. */
export interface ExplanationStep {
  /** Milliseconds after the request was accepted. */
  atMs: Millis;
  /** Name of the event, for example `admitted`, `granted`, `dispatched` or `first_token`. */
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
