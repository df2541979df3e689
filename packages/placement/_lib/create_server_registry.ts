import { createHash } from "node:crypto";
import type { Clock, Millis } from "@jaypass/kernel";
import { createServerLoad } from "../create_server_load.ts";
import type { ServerLoad } from "../create_server_load.ts";
import { computeLowerMedian } from "../create_server_speed.ts";
import { chooseProbe, excludeFailing } from "../choose_probe.ts";
import { computePrefillMs } from "../compute_prefill_ms.ts";
import { PACKED_PREFILL_MAX_MS } from "../constants.ts";
import type { ColdLimits } from "../placer_types.ts";
import type { EngineProfile, PlacementJob, PlacementServer, PlacementService } from "../types.ts";

/**
 * Share of the cold limit that is kept for hosts that place alone, beside requests that a hub has placed
 * in the same second, and because windows of hosts and servers are not aligned.
 */
const COLD_RESERVED_SHARE = 0.3;

/** Time in which the usual speed ratio of a service changes too little to matter. */
const BASELINE_VALID_MS = 50;

/** Part of the memory of all engines beyond which a prompt does not avoid failing ones. */
const LARGE_PROMPT_SHARE = 0.4;

/** Registry of a placer's servers and services, with the load of each server. */
export interface ServerRegistry {
  /** Replaces the servers; the load of remaining servers is kept. */
  setServers(servers: readonly PlacementServer[]): void;
  /**
   * Excludes one start of a server from all further jobs until it is removed or started again; does
   * nothing if that start is not known.
   */
  markLeaving(serverId: string, bornMs: number): void;
  /** Replaces the services. */
  setServices(services: readonly PlacementService[]): void;
  /** Returns the load of a server. */
  find(serverId: string): ServerLoad | undefined;
  /** Returns the cost model of a service; only services of model engines have one. */
  profileOf(service: string): EngineProfile | undefined;
  /** Reports whether requests of different priorities reach a service. */
  isPrioritized(service: string): boolean;
  /** Lists the servers that may get the job; suspect servers only if there are no others. */
  listUsable(job: PlacementJob): ServerLoad[];
  /** Lists all servers. */
  list(): ServerLoad[];
  /** Applies the pace that an engine has stated; undefined if its report has none. */
  applyPace(serverId: string, pace: number | undefined): void;
  /** Reports whether a server has a cold limit now. */
  hasColdServers(): boolean;
  /**
   * Lists the usable servers whose cold limit allows another request now, without those that the job
   * avoids because they fail; only the server to probe if the job is a probe.
   */
  listAvailable(job: PlacementJob): ServerLoad[];
}

/** Options of {@linkcode createServerRegistry}. */
export interface ServerRegistryOptions {
  /** Monotonic time source. */
  clock: Clock;
  /** Cold limits across all hosts. */
  coldLimits: ColdLimits;
  /** Share of the common limits that this placer may use, between 0 and 1. */
  share: () => number;
  /** Rank of the host for a server among the hosts that share its limit. */
  rank?: (serverId: string) => number;
  /** False while requests of the last second may be unknown. */
  knowsRecentSends?: () => boolean;
  /** Seed of the order in which equally loaded servers are chosen. */
  seed: string;
}

/** Creates an empty registry. */
export function createServerRegistry(options: ServerRegistryOptions): ServerRegistry {
  const { clock, coldLimits, share, seed } = options;
  const { rank = () => 0, knowsRecentSends = () => true } = options;
  const services = new Map<string, PlacementService>();
  const loads = new Map<string, ServerLoad>();
  /** Start times of the servers that leave, by id. */
  const leaving = new Map<string, number>();
  const ranks = new Map<string, string>();
  /** Loads by service, in the order in which equally loaded servers are chosen. */
  const loadsByService = new Map<string, ServerLoad[]>();

  /** Services of which an engine has stated its pace; the others of these have the usual one if they state none. */
  const pacedServices = new Set<string>();

  const baselines = new Map<string, { ratio: number | undefined; atMs: Millis }>();

  /**
   * Returns the median of the servers' ratios of observed to expected times. An error of the cost model
   * or a load that is common to all servers changes all ratios alike.
   */
  const findSpeedBaseline = (service: string) => {
    const known = baselines.get(service);
    if (known !== undefined && clock.nowMs() - known.atMs < BASELINE_VALID_MS) return known.ratio;
    const ratios = (loadsByService.get(service) ?? [])
      .map(({ speed }) => speed.typicalRatio()).filter((ratio) => ratio !== undefined);
    const ratio = ratios.length === 0 ? undefined : computeLowerMedian(ratios);
    baselines.set(service, { ratio, atMs: clock.nowMs() });
    return ratio;
  };

  const isShort = ({ service, promptTokens }: PlacementJob) => {
    const profile = services.get(service)?.engine;
    return profile === undefined ||
      computePrefillMs(promptTokens, profile) <= PACKED_PREFILL_MAX_MS;
  };

  /** Reports whether a prompt needs the memory of most engines. */
  const needsMostEngines = (
    { service, promptTokens, answerTokens }: PlacementJob,
    count: number,
  ) => {
    const memoryTokens = services.get(service)?.engine?.memoryTokens ?? Infinity;
    return promptTokens + answerTokens > memoryTokens * count * LARGE_PROMPT_SHARE;
  };

  const isWithinColdLimit = (load: ServerLoad, limitShare: () => number) => {
    const rate = services.get(load.server.service)?.coldRequestsPerS ?? 0;
    if (rate === 0 || clock.nowMs() > load.server.coldUntilMs) return true;
    const limit = rate * coldLimits.multiplier + coldLimits.slack;
    const ownLimit = limit * (1 - COLD_RESERVED_SHARE) * limitShare();
    if (ownLimit >= 1) return knowsRecentSends() && load.recentSends() + 1 <= ownLimit;
    // A request of each host would exceed the limit, so that only a few of them send one.
    const senderCount = Math.max(1, Math.floor(limit * COLD_RESERVED_SHARE));
    return load.recentSends() === 0 && rank(load.server.id) < senderCount;
  };

  const getRank = (serverId: string): string => {
    const existing = ranks.get(serverId);
    if (existing !== undefined) return existing;
    const rank = createHash("sha1").update(`${seed}/${serverId}`).digest("hex");
    ranks.set(serverId, rank);
    return rank;
  };

  let coldUntilMs = -Infinity;
  const updateCold = () => {
    coldUntilMs = Math.max(
      -Infinity,
      ...[...loads.values()].filter(({ server }) =>
        (services.get(server.service)?.coldRequestsPerS ?? 0) > 0
      ).map(({ server }) => server.coldUntilMs),
    );
  };

  const sortServers = () => {
    loadsByService.clear();
    const ordered = [...loads.values()]
      .sort((a, b) => getRank(a.server.id) < getRank(b.server.id) ? -1 : 1);
    for (const load of ordered) {
      const { service } = load.server;
      if (!loadsByService.has(service)) loadsByService.set(service, []);
      loadsByService.get(service)?.push(load);
    }
  };

  const listUsable = (job: PlacementJob) => {
    const all = loadsByService.get(job.service) ?? [];
    const notExcluded = job.excludedIds.length === 0 && leaving.size === 0
      ? all
      : all.filter(({ server }) =>
        !job.excludedIds.includes(server.id) && leaving.get(server.id) !== server.bornMs
      );
    const notSuspect = notExcluded.filter((load) => !load.isSuspect());
    return notSuspect.length > 0 ? notSuspect : [...notExcluded];
  };

  return {
    setServers(servers) {
      const present = new Set(servers.map((server) => server.id));
      for (const id of [...loads.keys()].filter((existing) => !present.has(existing))) {
        loads.delete(id);
        ranks.delete(id);
        leaving.delete(id);
      }
      for (const server of servers) {
        const load = loads.get(server.id);
        if (load?.server.bornMs === server.bornMs) load.server = server;
        else {
          const profile = services.get(server.service)?.engine;
          const speedBaseline = () => findSpeedBaseline(server.service);
          loads.set(server.id, createServerLoad(server, { clock, profile, speedBaseline }));
        }
      }
      sortServers();
      updateCold();
    },
    markLeaving(serverId, bornMs) {
      if (loads.get(serverId)?.server.bornMs === bornMs) leaving.set(serverId, bornMs);
    },
    setServices(list) {
      services.clear();
      for (const service of list) services.set(service.name, service);
      for (const load of loads.values()) {
        load.setProfile(services.get(load.server.service)?.engine);
      }
      updateCold();
    },
    find: (serverId) => loads.get(serverId),
    list: () => [...loads.values()],
    applyPace(serverId, pace) {
      const load = loads.get(serverId);
      if (load === undefined) return;
      const { service } = load.server;
      if (pace !== undefined) pacedServices.add(service);
      if (pacedServices.has(service)) load.setPace(pace ?? 1);
    },
    profileOf: (service) => services.get(service)?.engine,
    isPrioritized: (service) => services.get(service)?.isPrioritized === true,
    listUsable,
    hasColdServers: () => clock.nowMs() <= coldUntilMs,
    listAvailable(job) {
      // Counting the hosts is slow, so that it is done at most once, and only for a cold server.
      let known: number | undefined;
      const limitShare = () => known ??= share();
      const available = listUsable(job).filter((load) => isWithinColdLimit(load, limitShare));
      const probed = chooseProbe(job, available, isShort(job));
      if (probed !== undefined) return [probed];
      if (needsMostEngines(job, available.length)) return available;
      return excludeFailing(job, available);
    },
  };
}
