import type { AdministrationErrorBody, AdministrationReason } from "@jaypass/configuration";
import { Agent, request } from "undici";
import { EXIT_CODE, type ExitCode } from "./constants.ts";
import { CliError } from "./errors.ts";
import { describeRefusal } from "./_lib/describe_refusal.ts";
import type { OperatorClient } from "./types.ts";

/** Options of {@linkcode createOperatorClient}. */
export interface OperatorClientOptions {
  /** Bearer token of the operator. */
  token: string;
  /** Time limit of a request in milliseconds. An entry host completes a change within 10 s. */
  timeoutMs?: number;
  /** Time limit for opening a connection, in milliseconds. */
  connectTimeoutMs?: number;
  /** Called when a host cannot be reached or does not answer. */
  onNoAnswer?: (address: string, err: unknown) => void;
}

const EXIT_CODES: Partial<Record<AdministrationReason, ExitCode>> = {
  conflict: EXIT_CODE.CONFLICT,
  not_valid: EXIT_CODE.NOT_VALID,
  bad_request: EXIT_CODE.NOT_VALID,
  too_large: EXIT_CODE.NOT_VALID,
  unauthorized: EXIT_CODE.NOT_ALLOWED,
  forbidden: EXIT_CODE.NOT_ALLOWED,
  outcome_unknown: EXIT_CODE.UNKNOWN,
  not_found: EXIT_CODE.NOT_FOUND,
};

function toCliError(status: number, text: string): CliError {
  let error: Partial<AdministrationErrorBody["error"]> | undefined;
  try {
    error = (JSON.parse(text) as Partial<AdministrationErrorBody>).error;
  } catch {
    // Not an error body of jaypass, for instance from a proxy; its text is shown below.
  }
  if (error?.reason === undefined) {
    const exitCode = status === 404 ? EXIT_CODE.NOT_FOUND : EXIT_CODE.FAILED;
    return new CliError(`Host answered ${status}: ${text.slice(0, 200)}`, { exitCode });
  }
  return new CliError(describeRefusal(error), {
    exitCode: EXIT_CODES[error.reason] ?? EXIT_CODE.FAILED,
    body: { error },
  });
}

/**
 * Creates a client that sends each request to the entry hosts in order until one answers.
 *
 * When a host does not answer or answers 503, the client tries the next one. Repeating a change is
 * safe, because it carries a change id and a base revision.
 *
 * @param addresses base URLs of entry hosts, at least one
 * @param options token and time limits
 * @returns the client; `close` releases its connections
 *
 * @example
 * const client = createOperatorClient(["http://127.0.0.1:8080"], { token });
 * const { revision } = await client.get<RevisionResponse>("/admin/v1/config/revision");
 */
export function createOperatorClient(
  addresses: readonly string[],
  options: OperatorClientOptions,
): OperatorClient {
  const { token, timeoutMs = 15_000, connectTimeoutMs = 1_000, onNoAnswer } = options;
  const dispatcher = new Agent({ connect: { timeout: connectTimeoutMs } });
  const send = async (method: "GET" | "POST" | "DELETE", path: string, body?: unknown) => {
    const isChange = method !== "GET" && !path.endsWith("/diff");
    let refusal: CliError | undefined;
    let lastFailure: unknown;
    // Once a host may have received a change, its outcome is unknown even if all other hosts fail.
    let isOutcomeUnknown = false;
    for (const address of addresses) {
      try {
        const res = await request(`${address.replace(/\/+$/, "")}${path}`, {
          method,
          dispatcher,
          signal: AbortSignal.timeout(timeoutMs),
          headers: { authorization: `Bearer ${token}`, "content-type": "application/json" },
          body: body === undefined ? undefined : JSON.stringify(body),
        });
        const text = await res.body.text();
        if (res.statusCode < 300) return text;
        refusal = toCliError(res.statusCode, text);
        if (refusal.exitCode === EXIT_CODE.UNKNOWN) isOutcomeUnknown = true;
        if (res.statusCode !== 503) break;
      } catch (err) {
        lastFailure = err;
        const { code } = err as { code?: string };
        if (isChange && code !== "ECONNREFUSED" && code !== "UND_ERR_CONNECT_TIMEOUT") {
          isOutcomeUnknown = true;
        }
        onNoAnswer?.(address, err);
      }
    }
    // Another host may refuse the change while the first host still stores it. Only a conflict is
    // final: the newer revision that it names makes the first host's attempt conflict as well.
    const conflictingChange = (refusal?.body as AdministrationErrorBody | undefined)?.error.change;
    const isFinal = refusal?.exitCode === EXIT_CODE.CONFLICT && conflictingChange !== undefined;
    if (isOutcomeUnknown && !isFinal && refusal?.exitCode !== EXIT_CODE.UNKNOWN) {
      const last = refusal === undefined ? "" : `; the last host answered: ${refusal.message}`;
      throw new CliError(`No host confirmed the request; its outcome is unknown${last}`, {
        exitCode: EXIT_CODE.UNKNOWN,
        cause: lastFailure,
      });
    }
    throw refusal ?? new CliError(`No host answers at ${addresses.join(", ")}`, {
      exitCode: EXIT_CODE.UNREACHABLE,
      cause: lastFailure,
    });
  };
  return {
    get: async (path) => JSON.parse(await send("GET", path)),
    post: async (path, body) => {
      const text = await send("POST", path, body);
      return text === "" ? undefined : JSON.parse(text);
    },
    delete: async (path) => void await send("DELETE", path),
    close: () => dispatcher.destroy(),
  };
}
