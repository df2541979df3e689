import type { AdministrationErrorBody, AdministrationReason } from "../operator_api.ts";

/** HTTP status code by reason. */
const STATUS: Record<AdministrationReason, number> = {
  bad_request: 400,
  unauthorized: 401,
  forbidden: 403,
  not_found: 404,
  method_not_allowed: 405,
  too_large: 413,
  conflict: 409,
  not_valid: 422,
  not_ready: 503,
  store_unavailable: 503,
  store_behind: 503,
  outcome_unknown: 503,
  internal: 500,
};

/** An error that is returned to the caller of the administration interface. */
export class AdministrationError extends Error {
  override name = "AdministrationError";
  readonly status: number;
  readonly body: AdministrationErrorBody;

  constructor(
    reason: AdministrationReason,
    message: string,
    options: ErrorOptions & Omit<AdministrationErrorBody["error"], "reason" | "message"> = {},
  ) {
    super(message, options);
    const { cause: _cause, ...details } = options;
    this.status = STATUS[reason];
    this.body = { error: { reason, message, ...details } };
  }
}
