import type { Clock, Logger, Millis } from "@jaypass/kernel";
import { SERVER_STATUS } from "@jaypass/forwarding";
import type { ForwardingServer, ServerCheck } from "@jaypass/forwarding";
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
 * const { status } = await checkServer(server);
 */
export function createServerCheck(
  options: ServerCheckOptions,
): (server: ForwardingServer) => Promise<ServerCheck> {
  const { reports, clock, log } = options;
  const cache = new Map<string, { askedMs: Millis; check: Promise<ServerCheck> }>();

  const removeExpired = (nowMs: Millis) => {
    for (const [key, { askedMs }] of cache) {
      if (nowMs - askedMs >= SERVER_CHECK_CACHE_MS) cache.delete(key);
    }
  };

  const ask = async (
    { id, address, bornMs }: ForwardingServer,
    askedMs: Millis,
  ): Promise<ServerCheck> => {
    const server = { address, serverId: id, bornMs };
    const status = await reports.readStatus(server, SERVER_CHECK_TIMEOUT_MS);
    log.info({ server: id, address, status }, "Silent server checked");
    return { status, askedMs };
  };

  return (server) => {
    const nowMs = clock.nowMs();
    if (!options.hasStatus(server.service)) {
      return Promise.resolve({ status: SERVER_STATUS.ALIVE, askedMs: nowMs });
    }
    removeExpired(nowMs);
    const key = `${server.id} ${server.bornMs}`;
    const known = cache.get(key);
    if (known !== undefined) return known.check;
    const check = ask(server, nowMs);
    cache.set(key, { askedMs: nowMs, check });
    return check;
  };
}
