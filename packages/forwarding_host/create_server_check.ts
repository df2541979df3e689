import type { Clock, Logger, Millis } from "@jaypass/kernel";
import { SERVER_STATUS } from "@jaypass/forwarding";
import type { ForwardingServer, ServerStatus } from "@jaypass/forwarding";
import { SERVER_CHECK_CACHE_MS, SERVER_CHECK_TIMEOUT_MS } from "./constants.ts";
import type { EngineReports } from "./types.ts";

/** Options of {@linkcode createServerCheck}. */
export interface ServerCheckOptions {
  /** Asks engines for their status. */
  reports: Pick<EngineReports, "readStatus">;
  /** Monotonic time source. */
  clock: Clock;
  /** Log of checks. */
  log: Logger;
  /** Reports whether servers of a service can be asked; those of plain services cannot. */
  hasStatus: (service: string) => boolean;
}

interface CachedStatus {
  startMs: Millis;
  status: Promise<ServerStatus>;
}

/**
 * Creates the check whether the process of a server that sends nothing is still there.
 *
 * Requests that wait for the same server share a check, since each one costs a probe.
 *
 * @param options engines, clock and log
 * @returns the check; a server that cannot be asked counts as alive
 *
 * @example
 * const checkServer = createServerCheck({ reports, clock, log, hasStatus });
 * const status = await checkServer(server);
 */
export function createServerCheck(
  options: ServerCheckOptions,
): (server: ForwardingServer) => Promise<ServerStatus> {
  const { reports, clock, log } = options;
  const cache = new Map<string, CachedStatus>();

  const removeExpired = (nowMs: Millis) => {
    for (const [key, { startMs }] of cache) {
      if (nowMs - startMs >= SERVER_CHECK_CACHE_MS) cache.delete(key);
    }
  };

  const readStatus = async ({ id, address, bornMs }: ForwardingServer): Promise<ServerStatus> => {
    const server = { address, serverId: id, bornMs };
    const status = await reports.readStatus(server, SERVER_CHECK_TIMEOUT_MS);
    log.info({ server: id, address, status }, "Silent server checked");
    return status;
  };

  return (server) => {
    if (!options.hasStatus(server.service)) return Promise.resolve(SERVER_STATUS.ALIVE);
    const nowMs = clock.nowMs();
    removeExpired(nowMs);
    const key = `${server.id} ${server.bornMs}`;
    const known = cache.get(key);
    if (known !== undefined) return known.status;
    const status = readStatus(server);
    cache.set(key, { startMs: nowMs, status });
    return status;
  };
}
