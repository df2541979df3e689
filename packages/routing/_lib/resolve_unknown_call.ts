import type { CallResult } from "@jaypass/idempotency";
import { ENGINE_CALL_TIMEOUT_MS } from "../constants.ts";
import type { RouterContext } from "./router_context.ts";

/** A call whose outcome is not known. */
export interface UnknownCall {
  service: string;
  /** The key as the service knows it. */
  key: string;
  resolution: "none" | "lookup" | "fence";
  /** Fencing number above that of every earlier attempt. */
  fencing: number;
  signal: AbortSignal;
}

/**
 * Asks a service's servers whether a call ran.
 *
 * With `fence`, every server first refuses earlier attempts, so that "not found" on all of them
 * proves that the call did not run and never will.
 *
 * @param call the call
 * @param context the router's parts
 * @returns the stored result, or `undefined` when no server has it
 * @throws the client's error when a server does not answer and no other one has the result
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
