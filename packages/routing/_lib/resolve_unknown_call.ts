import type { CallResult } from "@jaypass/idempotency";
import { ENGINE_CALL_TIMEOUT_MS } from "../constants.ts";
import type { RouterContext } from "./router_context.ts";

/** A call whose outcome is unknown. */
export interface UnknownCall {
  service: string;
  /** Idempotency key under which the service is asked. */
  key: string;
  resolution: "none" | "lookup" | "fence";
  /** Fencing number that is higher than those of all earlier attempts. */
  fencing: number;
  signal: AbortSignal;
}

/**
 * Asks all servers of a service whether a call ran.
 *
 * With the resolution `fence`, each server is first told to refuse earlier attempts, so that "not
 * found" on all servers proves that the call has not run and will not run.
 *
 * @param call the call
 * @param context shared services of the router
 * @returns the stored result, or `undefined` if no server has it
 * @throws the client's error if a server does not answer and no other server has the result
 */
export async function resolveUnknownCall(
  call: UnknownCall,
  context: RouterContext,
): Promise<CallResult | undefined> {
  const servers = Object.values(context.configuration.document().backendServers)
    .filter((server) => server.kind === "service" && server.serves === call.service);
  const options = { timeoutMs: ENGINE_CALL_TIMEOUT_MS, signal: call.signal };
  const answers = await Promise.allSettled(servers.map(async (server) => {
    const client = context.serviceFor(server.url);
    if (call.resolution === "fence") await client.raiseFence(call.key, call.fencing, options);
    return await client.lookup(call.key, options);
  }));
  for (const answer of answers) {
    if (answer.status === "fulfilled" && answer.value) return answer.value;
  }
  const failed = answers.find((answer) => answer.status === "rejected");
  if (failed) throw failed.reason;
  return undefined;
}
