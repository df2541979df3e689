import type { GrantOutcome } from "@jaypass/admission";
import type { EngineClient } from "@jaypass/engines";
import type { Millis } from "@jaypass/kernel";
import { ENGINE_CALL_TIMEOUT_MS, FOLLOW_TIMEOUT_MS, MAX_ATTEMPTS } from "../constants.ts";
import { parseRequestId } from "../parse_request_id.ts";
import type { RouterContext } from "./router_context.ts";

/** An attempt that an engine runs, or ran recently, for a host that no longer answers. */
export interface RunningAttempt {
  engine: EngineClient;
  attemptId: string;
  /** Maximum time for which its stream is followed. */
  remainingMs: Millis;
  /** Releases its grant, if there is one. */
  releaseGrant(outcome: GrantOutcome): void;
}

/**
 * Finds the engine that runs a request of a host that no longer answers.
 *
 * The coordinators are asked first. If a pool has no coordinator, for example because it failed
 * together with the host, all engines of the model are asked for their requests; the number of
 * these calls does not grow with the number of hosts.
 *
 * @param requestId id of the request, without the attempt number
 * @param signal aborted when the caller disconnects
 * @param context shared services of the router
 * @returns the attempt, or `undefined` if no engine has it
 */
export async function findRunningAttempt(
  requestId: string,
  signal: AbortSignal,
  context: RouterContext,
): Promise<RunningAttempt | undefined> {
  const grant = await context.admission.find(requestId, signal);
  if (grant !== undefined) {
    return {
      engine: context.engineFor(grant.servers[0]!.url),
      attemptId: grant.requestId,
      remainingMs: FOLLOW_TIMEOUT_MS,
      releaseGrant: (outcome) => context.admission.release(grant, { outcome }),
    };
  }
  const engines = listEngines(requestId, context);
  const found = await Promise.all(engines.map(async (engine) => {
    try {
      const active = await engine.active({ timeoutMs: ENGINE_CALL_TIMEOUT_MS, signal });
      const ids = active.map((request) => request.requestId);
      // The latest attempt contains all tokens of the earlier ones.
      return {
        engine,
        attemptId: ids.filter((id) => id.startsWith(`${requestId}.`)).sort().at(-1),
      };
    } catch {
      return { engine, attemptId: undefined };
    }
  }));
  for (const { engine, attemptId } of found) {
    if (attemptId === undefined) continue;
    return { engine, attemptId, remainingMs: FOLLOW_TIMEOUT_MS, releaseGrant: () => {} };
  }
  return await findEndedAttempt(requestId, engines, signal);
}

/** Finds an engine that ended the request recently; lists of active requests do not include it. */
async function findEndedAttempt(
  requestId: string,
  engines: readonly EngineClient[],
  signal: AbortSignal,
): Promise<RunningAttempt | undefined> {
  // The latest attempt contains all tokens of the earlier ones.
  for (let attempt = MAX_ATTEMPTS - 1; attempt >= 0; attempt--) {
    const attemptId = `${requestId}.${attempt}`;
    const results = await Promise.all(
      engines.map((engine) => hasEvents(engine, attemptId, signal)),
    );
    const engine = engines[results.indexOf(true)];
    if (engine === undefined) continue;
    return { engine, attemptId, remainingMs: FOLLOW_TIMEOUT_MS, releaseGrant: () => {} };
  }
  return undefined;
}

async function hasEvents(
  engine: EngineClient,
  attemptId: string,
  signal: AbortSignal,
): Promise<boolean> {
  const events = engine.resume(attemptId, 0, {
    timeoutMs: ENGINE_CALL_TIMEOUT_MS,
    idleTimeoutMs: ENGINE_CALL_TIMEOUT_MS,
    signal,
  });
  try {
    // Closing a resumed stream does not cancel its request.
    for await (const _event of events) return true;
    return false;
  } catch {
    return false;
  }
}

function listEngines(requestId: string, context: RouterContext): EngineClient[] {
  const parsed = parseRequestId(requestId);
  return Object.values(context.configuration.document().backendServers)
    .filter((server) => server.kind === "engine" && parsed?.targets(server.serves))
    .map((server) => context.engineFor(server.url));
}
