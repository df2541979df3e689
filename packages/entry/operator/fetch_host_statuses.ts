import type { HostView } from "@jaypass/membership";
import { HOST_STATUS_METHOD } from "../peer_methods.ts";
import type { OperatorContext } from "./operator_context.ts";

/** A host and the status that it reported. */
export interface HostStatusResult {
  host: HostView;
  /** Absent if the host did not answer in time. */
  status?: { revision: number; pools: Record<string, unknown>[] };
}

/** Timeout of the call to each host. */
const HOST_STATUS_TIMEOUT_MS = 1_500;

/**
 * Requests the status of every known host that is not dead.
 *
 * The number of calls grows with the number of hosts, so it is used for operator requests only.
 *
 * @param context shared services of the operator handlers
 * @returns one result for each of these hosts
 */
export async function fetchHostStatuses(context: OperatorContext): Promise<HostStatusResult[]> {
  const hosts = context.membership.hosts().filter((host) => host.state !== "dead");
  return await Promise.all(hosts.map(async (host) => {
    if (host.id === context.membership.self().id) {
      return { host, status: describeHostStatus(context) };
    }
    try {
      const options = { timeoutMs: HOST_STATUS_TIMEOUT_MS };
      return {
        host,
        status: await context.peers.call(host.peerAddress, HOST_STATUS_METHOD, {}, options),
      };
    } catch {
      return { host };
    }
  }));
}

/** Returns the status of this host, as sent to {@linkcode fetchHostStatuses} of other hosts. */
export function describeHostStatus(context: OperatorContext) {
  return { revision: context.configuration.revision(), pools: context.admission.describe() };
}
