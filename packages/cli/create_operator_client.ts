import type { AdministrationErrorBody, AdministrationReason } from "@jaypass/configuration";
import { Agent, request } from "undici";
import { EXIT_CODE, type ExitCode } from "./constants.ts";
import { CliError } from "./errors.ts";
import { describeRefusal } from "./_lib/describe_refusal.ts";
import type { OperatorClient } from "./types.ts";

/** Options of {@linkcode createOperatorClient}. */
export interface OperatorClientOptions {
  token: string;
  /** Limit of a request, in milliseconds; an entry host settles a change within 10 s. */
  timeoutMs?: number;
  /** Limit for opening a connection, in milliseconds. */
  connectTimeoutMs?: number;
  /** Told when a host gave no answer. */
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
    // The body of another program's answer is shown below.
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
 * Creates a client that asks entry hosts in order until one answers.
 *
 * A host that is silent or answers 503 is followed by the next one. Repeating a change is safe,
 * because it carries its change id and base revision.
 *
 * @param addresses base URLs of entry hosts, at least one
 * @param options token and limits
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
  const { token, timeoutMs = 15_000, connectTimeoutMs = 1_000, onNoAnswer: onSilent } = options;
  const dispatcher = new Agent({ connect: { timeout: connectTimeoutMs } });
  const ask = async (method: "GET" | "POST" | "DELETE", path: string, body?: unknown) => {
    const isChange = method !== "GET" && !path.endsWith("/diff");
    let refusal: CliError | undefined;
    let silence: unknown;
    // Once a host may have received a change, a failure of the others leaves its outcome unknown.
    let isInDoubt = false;
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
        if (refusal.exitCode === EXIT_CODE.UNKNOWN) isInDoubt = true;
        if (res.statusCode !== 503) break;
      } catch (err) {
        silence = err;
        const { code } = err as { code?: string };
        if (isChange && code !== "ECONNREFUSED" && code !== "UND_ERR_CONNECT_TIMEOUT") {
          isInDoubt = true;
        }
        onSilent?.(address, err);
      }
    }
    // Another host may refuse while the first host's attempt still takes effect. Only a conflict
    // is final: the later revision that it names also stops the first attempt.
    const winner = (refusal?.body as AdministrationErrorBody | undefined)?.error.change;
    const isFinal = refusal?.exitCode === EXIT_CODE.CONFLICT && winner !== undefined;
    if (isInDoubt && !isFinal && refusal?.exitCode !== EXIT_CODE.UNKNOWN) {
      const last = refusal === undefined ? "" : `; the last host answered: ${refusal.message}`;
      throw new CliError(`No host confirmed the request; its outcome is unknown${last}`, {
        exitCode: EXIT_CODE.UNKNOWN,
        cause: silence,
      });
    }
    throw refusal ?? new CliError(`No host answers at ${addresses.join(", ")}`, {
      exitCode: EXIT_CODE.UNREACHABLE,
      cause: silence,
    });
  };
  return {
    get: async (path) => JSON.parse(await ask("GET", path)),
    post: async (path, body) => {
      const text = await ask("POST", path, body);
      return text === "" ? undefined : JSON.parse(text);
    },
    delete: async (path) => void await ask("DELETE", path),
    close: () => dispatcher.destroy(),
  };
}
