import { createHash } from "node:crypto";
import type { Clock } from "@jaypass/kernel";
import { createServerLoad } from "../create_server_load.ts";
import type { ServerLoad } from "../create_server_load.ts";
import type { ColdLimits } from "../placer_types.ts";
import type { EngineProfile, PlacementJob, PlacementServer, PlacementService } from "../types.ts";

/** Part of the cold limit that is never used, since a second of the server is not ours. */
const COLD_RESERVED_SHARE = 0.3;

/** Servers and services of a placer, with the load of each server. */
export interface ServerRegistry {
  /** Replaces the servers; the load of those that stay is kept. */
  setServers(servers: readonly PlacementServer[]): void;
  /** Replaces the services. */
  setServices(services: readonly PlacementService[]): void;
  /** Finds the load of a server. */
  find(serverId: string): ServerLoad | undefined;
  /** Cost figures of a service; only those of model engines have some. */
  profileOf(service: string): EngineProfile | undefined;
  /** Servers that may get the job, without suspects unless there are only those. */
  listUsable(job: PlacementJob): ServerLoad[];
  /** Usable servers that may get one more request now. */
  listAvailable(job: PlacementJob): ServerLoad[];
}

/** Options of {@linkcode createServerRegistry}. */
export interface ServerRegistryOptions {
  /** Monotonic time source. */
  clock: Clock;
  /** Cold limits over all hosts. */
  coldLimits: ColdLimits;
  /** Part of the common limits that this placer may use, between 0 and 1. */
  share: () => number;
  /** Orders servers of equal load. */
  seed: string;
}

/** Creates a book without servers. */
export function createServerRegistry(options: ServerRegistryOptions): ServerRegistry {
  const { clock, coldLimits, share, seed } = options;
  const services = new Map<string, PlacementService>();
  const loads = new Map<string, ServerLoad>();
  const ranks = new Map<string, string>();
  /** Servers of a service, in the order in which equally loaded ones are taken. */
  const ranked = new Map<string, ServerLoad[]>();

  const isWithinColdLimit = (load: ServerLoad) => {
    const rate = services.get(load.server.service)?.coldRequestsPerS ?? 0;
    if (rate === 0 || clock.nowMs() > load.server.coldUntilMs) return true;
    const limit = (rate * coldLimits.multiplier + coldLimits.slack) * share();
    return load.recentSends() + 1 <= Math.max(1, limit * (1 - COLD_RESERVED_SHARE));
  };

  const rankOf = (serverId: string): string => {
    const known = ranks.get(serverId);
    if (known !== undefined) return known;
    const rank = createHash("sha1").update(`${seed}/${serverId}`).digest("hex");
    ranks.set(serverId, rank);
    return rank;
  };

  const rankServers = () => {
    ranked.clear();
    const ordered = [...loads.values()]
      .sort((a, b) => rankOf(a.server.id) < rankOf(b.server.id) ? -1 : 1);
    for (const load of ordered) {
      const { service } = load.server;
      if (!ranked.has(service)) ranked.set(service, []);
      ranked.get(service)?.push(load);
    }
  };

  const listUsable = (job: PlacementJob) => {
    const all = ranked.get(job.service) ?? [];
    const allowed = job.excludedIds.length === 0
      ? all
      : all.filter(({ server }) => !job.excludedIds.includes(server.id));
    const trusted = allowed.filter((load) => !load.isSuspect());
    return trusted.length > 0 ? trusted : [...allowed];
  };

  return {
    setServers(servers) {
      const present = new Set(servers.map((server) => server.id));
      for (const id of [...loads.keys()].filter((known) => !present.has(known))) {
        loads.delete(id);
        ranks.delete(id);
      }
      for (const server of servers) {
        const load = loads.get(server.id);
        if (load?.server.bornMs === server.bornMs) load.server = server;
        else {
          const profile = services.get(server.service)?.engine;
          loads.set(server.id, createServerLoad(server, { clock, profile }));
        }
      }
      rankServers();
    },
    setServices(list) {
      services.clear();
      for (const service of list) services.set(service.name, service);
      for (const load of loads.values()) {
        load.setProfile(services.get(load.server.service)?.engine);
      }
    },
    find: (serverId) => loads.get(serverId),
    profileOf: (service) => services.get(service)?.engine,
    listUsable,
    listAvailable: (job) => listUsable(job).filter(isWithinColdLimit),
  };
}
