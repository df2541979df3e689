import type { HostView } from "@jaypass/membership";
import { HOST_STATUS_METHOD } from "../peer_methods.ts";
import type { OperatorContext } from "./operator_context.ts";

/** What a host answered about itself. */
export interface HostStatusResult {
  host: HostView;
  /** Absent when the host did not answer in time. */
  status?: { revision: number; pools: Record<string, unknown>[] };
}

/** Time for each host to answer; a host that is slower counts as silent. */
const ASK_TIMEOUT_MS = 1_500;

/**
 * Asks every known host for its state. Only operators cause this, so its cost may grow with hosts.
 *
 * @param context the operators' context
 * @returns one answer for each host that is not dead
 */
export async function fetchHostStatuses(context: OperatorContext): Promise<HostStatusResult[]> {
  const hosts = context.membership.hosts().filter((host) => host.state !== "dead");
  return await Promise.all(hosts.map(async (host) => {
    if (host.id === context.membership.self().id) {
      return { host, status: describeHostStatus(context) };
    }
    try {
      const options = { timeoutMs: ASK_TIMEOUT_MS };
      return {
        host,
        status: await context.peers.call(host.peerAddress, HOST_STATUS_METHOD, {}, options),
      };
    } catch {
      return { host };
    }
  }));
}

/** Describes this host for {@linkcode fetchHostStatuses} of another one. */
export function describeHostStatus(context: OperatorContext) {
  return { revision: context.configuration.revision(), pools: context.admission.describe() };
}
