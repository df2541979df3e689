import type { Clock, Logger, Metrics, Millis } from "@jaypass/kernel";
import { MAX_SERVER_NOTICES } from "./constants.ts";
import type { AnswerMetadata } from "./types.ts";

/** One start of a server. */
export interface ServerInstance {
  /** Id of the server. */
  id: string;
  /** Wall-clock time of the start; 0 if it is not known. */
  bornMs: number;
}

/** Options of {@linkcode createServerNotices}. */
export interface ServerNoticesOptions {
  /** Monotonic time source. */
  clock: Clock;
  /** Log of changes. */
  log: Logger;
  /** Receives a counter `server_notice` of servers that leave or pause. */
  metrics: Pick<Metrics, "increment">;
  /** Called once for each instance that states that it leaves. */
  onLeaving?: (server: ServerInstance) => void;
}

/** What servers have stated in their answers about further requests from this host. */
export interface ServerNotices {
  /** Records the statements in a server's own answer. */
  record(server: ServerInstance, notice: Pick<AnswerMetadata, "isLeaving" | "pauseMs">): void;
  /**
   * Returns the milliseconds for which a server wants no requests: 0 if it takes them now, Infinity
   * if it leaves.
   */
  waitMs(server: ServerInstance): Millis;
  /** Lists the instances that want no requests now. */
  listUnusable(): ServerInstance[];
  /** Lists the instances that leave. */
  listLeaving(): ServerInstance[];
  /**
   * Removes the statements of instances that another start has replaced, and of those without a known
   * start time whose server is gone.
   *
   * @param findBornMs finds the start time of a server; undefined if the server is gone
   */
  removeGone(findBornMs: (id: string) => number | undefined): void;
}

interface Entry {
  server: ServerInstance;
  /** Monotonic time until which the server wants no requests; Infinity if it leaves. */
  untilMs: Millis;
}

/**
 * Creates the record of what servers state in their answers about further requests.
 *
 * A statement is valid for one start of a server. Leaving is never taken back, and the longer of two
 * pauses counts. The number of entries is limited; the oldest ones are dropped first.
 *
 * @param options clock, log and metrics
 * @returns an empty record
 *
 * @example
 * const notices = createServerNotices({ clock, log, metrics });
 * notices.record(server, metadata);
 * if (notices.waitMs(server) > 0) placeElsewhere();
 */
export function createServerNotices(options: ServerNoticesOptions): ServerNotices {
  const { clock, log, metrics } = options;
  const entries = new Map<string, Entry>();

  const removeExpired = () => {
    for (const [key, { server, untilMs }] of entries) {
      if (untilMs > clock.nowMs()) continue;
      entries.delete(key);
      log.info({ server: server.id }, "Pause of server ended");
    }
  };

  const makeRoom = () => {
    if (entries.size < MAX_SERVER_NOTICES) return;
    removeExpired();
    for (const key of entries.keys()) {
      if (entries.size < MAX_SERVER_NOTICES) return;
      entries.delete(key);
    }
  };

  return {
    record(server, { isLeaving, pauseMs = 0 }) {
      const untilMs = isLeaving ? Infinity : clock.nowMs() + pauseMs;
      const key = toKey(server);
      const known = entries.get(key)?.untilMs ?? -Infinity;
      if (untilMs <= clock.nowMs() || untilMs <= known) return;
      if (known === -Infinity) makeRoom();
      entries.set(key, { server: { id: server.id, bornMs: server.bornMs }, untilMs });
      if (isLeaving) {
        log.info({ server: server.id }, "Server states that it leaves");
        metrics.increment("server_notice", { kind: "leaving" });
        options.onLeaving?.({ id: server.id, bornMs: server.bornMs });
      } else if (known <= clock.nowMs()) {
        log.info({ server: server.id, pauseMs }, "Server wants no requests for a time");
        metrics.increment("server_notice", { kind: "pause" });
      }
    },
    waitMs: (server) => Math.max(0, (entries.get(toKey(server))?.untilMs ?? 0) - clock.nowMs()),
    listUnusable() {
      removeExpired();
      return [...entries.values()].map(({ server }) => server);
    },
    listLeaving: () =>
      [...entries.values()].flatMap(({ server, untilMs }) => untilMs === Infinity ? [server] : []),
    removeGone(findBornMs) {
      for (const [key, { server }] of entries) {
        const bornMs = findBornMs(server.id);
        const isGone = bornMs === undefined ? server.bornMs === 0 : bornMs !== server.bornMs;
        if (isGone) entries.delete(key);
      }
    },
  };
}

function toKey({ id, bornMs }: ServerInstance): string {
  return `${bornMs} ${id}`;
}
