import { createEngineClient, EngineError } from "@jaypass/engines";
import { createClock, createMetrics } from "@jaypass/kernel";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { FleetEngine } from "./_lib/start_fleet.ts";
import type { Target } from "./_lib/target.ts";
import type { Arrival } from "./make_workload.ts";
import type { Profile } from "./profiles.ts";

/** Baseline policies by which a host chooses an engine without coordination with other hosts. */
export const POLICIES = [
  "round_robin",
  "least_connections",
  "two_choices",
  "two_choices_lanes",
] as const;

/** A policy of {@linkcode POLICIES}. */
export type Policy = typeof POLICIES[number];

/** Attempts per request, each on another engine. */
const MAX_ATTEMPTS = 3;

/** Modelled interval between reads of an engine's load report. */
const LOAD_POLL_MS = 500;

/** Modelled time for which a host avoids an engine after a failed request. */
const AVOID_MS = 1_000;

/** Modelled delay until hosts learn that a data centre was taken out of service or put back. */
const DATA_CENTRE_LAG_MS = 2_000;

/** Options of {@linkcode createPolicyTarget}. */
export interface PolicyTargetOptions {
  profile: Profile;
  engines: readonly FleetEngine[];
  timeScale: number;
  seed: number;
}

/**
 * Creates a baseline target. It simulates the hosts of the profile, which choose engines independently of
 * each other by one policy and send requests directly to them.
 *
 * @param policy policy of the hosts; `two_choices_lanes` also sets engine priorities by prompt class
 * @param options fleet, time scale and seed
 * @returns the target
 *
 * @example
 * const target = createPolicyTarget("round_robin", { profile, engines, timeScale: 4, seed: 1 });
 */
export function createPolicyTarget(policy: Policy, options: PolicyTargetOptions): Target {
  const { profile, engines, timeScale } = options;
  const clock = createClock();
  const metrics = createMetrics({ tags: {} });
  const random = xoroshiro128plus(options.seed);
  const clients = engines.map((engine) => createEngineClient(engine.url, { clock, metrics }));
  const reportedRunning = engines.map(() => 0);
  const outDataCentres = new Set<string>();
  const hosts = Array.from({ length: profile.hosts }, (_, index) => ({
    next: index,
    outstanding: engines.map(() => 0),
    avoidUntilMs: engines.map(() => 0),
  }));
  type Host = typeof hosts[number];
  const poll = setInterval(() => {
    for (const [index, client] of clients.entries()) {
      client.load({ timeoutMs: 1_000 }).then(
        (load) => (reportedRunning[index] = load.running),
        () => {},
      );
    }
  }, LOAD_POLL_MS / timeScale);

  const choose = (host: Host, tried: Set<number>): number | undefined => {
    const candidates = engines.flatMap((engine, index) =>
      outDataCentres.has(engine.dataCentre) || tried.has(index) ? [] : [index]
    );
    const preferred = candidates.filter((index) =>
      (host.avoidUntilMs[index] ?? 0) <= clock.nowMs()
    );
    const usable = preferred.length > 0 ? preferred : candidates;
    const pick = () => usable[uniformInt(random, 0, usable.length - 1)];
    if (usable.length === 0) return undefined;
    if (policy === "round_robin") {
      host.next += 1;
      return usable[host.next % usable.length];
    }
    if (policy === "least_connections") {
      const least = Math.min(...usable.map((index) => host.outstanding[index] ?? 0));
      const equal = usable.filter((index) => host.outstanding[index] === least);
      return equal[uniformInt(random, 0, equal.length - 1)];
    }
    const [first, second] = [pick() ?? 0, pick() ?? 0];
    return (reportedRunning[first] ?? 0) <= (reportedRunning[second] ?? 0) ? first : second;
  };
  const priorityOf = (arrival: Arrival) =>
    policy !== "two_choices_lanes" ? 0 : { short: 0, medium: 1, long: 2 }[arrival.promptClass];

  return {
    name: policy,
    enginePrompt: (prompt) => prompt,
    async send(arrival, prompt, sendOptions) {
      const host = hosts[uniformInt(random, 0, hosts.length - 1)] as Host;
      const tried = new Set<number>();
      const generated: string[] = [];
      let failure: unknown = new Error("No engine is in service");
      while (tried.size < MAX_ATTEMPTS) {
        const index = choose(host, tried);
        const client = index === undefined ? undefined : clients[index];
        if (index === undefined || !client) throw failure;
        tried.add(index);
        host.outstanding[index] = (host.outstanding[index] ?? 0) + 1;
        try {
          const events = client.complete({
            requestId: `${arrival.requestId}-${tried.size}`,
            model: profile.model,
            prompt,
            generated,
            maxTokens: arrival.maxTokens,
            priority: priorityOf(arrival),
            fencing: 1,
          }, { ...sendOptions, idleTimeoutMs: 5_000 });
          for await (const event of events) {
            if (event.type !== "token") continue;
            generated.push(event.text);
            sendOptions.onToken();
          }
          return generated;
        } catch (err) {
          failure = err;
          host.avoidUntilMs[index] = clock.nowMs() + AVOID_MS / timeScale;
          const code = err instanceof EngineError ? err.code : "";
          if (code === "aborted" || code === "timeout") throw err;
        } finally {
          host.outstanding[index] = (host.outstanding[index] ?? 1) - 1;
        }
      }
      throw failure;
    },
    async setDataCentre(dataCentre, state) {
      await new Promise((resolve) => setTimeout(resolve, DATA_CENTRE_LAG_MS / timeScale));
      if (state === "out") outDataCentres.add(dataCentre);
      else outDataCentres.delete(dataCentre);
    },
    async stop() {
      clearInterval(poll);
      await Promise.all(clients.map((client) => client.close()));
    },
  };
}
