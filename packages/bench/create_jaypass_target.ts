import { createCaller, OPERATOR_TOKEN } from "@jaypass/system_tests";
import type { System } from "@jaypass/system_tests";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { request } from "undici";
import type { Target } from "./_lib/target.ts";

/** Time for which a caller caches the address list, as hosts specify; not scaled. */
const ADDRESS_TTL_MS = 15_000;

/** Attempts of a caller, each at another address. */
const MAX_ATTEMPTS = 3;

/** Options of {@linkcode createJaypassTarget}. */
export interface JaypassTargetOptions {
  /** Ids of the workspaces; `Arrival.workspace` is an index into this list. */
  workspaces: readonly string[];
  seed: number;
}

/** Error for a request that jaypass refused or answered incompletely. */
class LoadError extends Error {
  override name = "LoadError";
  readonly reason: string;

  constructor(reason: string, message: string) {
    super(message);
    this.reason = reason;
  }
}

/**
 * Creates the target that sends load through the entry hosts in the way callers do: it caches the address
 * list and retries at another address after a failure.
 *
 * @param system the running system
 * @param options workspaces and seed
 * @returns the target
 *
 * @example
 * const target = createJaypassTarget(system, { workspaces: ["school"], seed: 1 });
 */
export function createJaypassTarget(system: System, options: JaypassTargetOptions): Target {
  const random = xoroshiro128plus(options.seed);
  const callers = options.workspaces.map((workspace) => ({
    ...createCaller(workspace),
    addresses: [] as string[],
    readMs: -Infinity,
    source: createCaller(workspace),
  }));
  type LoadCaller = typeof callers[number];
  const pickFrom = <T>(list: readonly T[]) => list[uniformInt(random, 0, list.length - 1)] as T;

  const chooseUrl = async (caller: LoadCaller, tried: Set<string>): Promise<string> => {
    if (performance.now() - caller.readMs > ADDRESS_TTL_MS || tried.size > 0) {
      caller.readMs = performance.now();
      const host = pickFrom(system.hosts.filter(({ url }) => !tried.has(url)));
      const listed = await caller.source.fetchAddresses(host.url).catch(() => undefined);
      if (listed && listed.length > 0) caller.addresses = listed.map(({ url }) => url);
    }
    const known = caller.addresses.length > 0
      ? caller.addresses
      : system.hosts.map((host) => host.url);
    const untried = known.filter((url) => !tried.has(url));
    return pickFrom(untried.length > 0 ? untried : known);
  };

  return {
    name: "jaypass",
    // An entry host converts chat messages to a prompt with their roles.
    enginePrompt: (prompt) => `user: ${prompt}\n`,
    async send(arrival, prompt, sendOptions) {
      const caller = callers[arrival.workspace] as LoadCaller;
      const tried = new Set<string>();
      const endMs = performance.now() + sendOptions.timeoutMs;
      while (true) {
        const url = await chooseUrl(caller, tried);
        tried.add(url);
        const outcome = await caller.complete(url, prompt, {
          maxTokens: arrival.maxTokens,
          timeoutMs: Math.max(1, Math.round(endMs - performance.now())),
          signal: sendOptions.signal,
          onToken: sendOptions.onToken,
        });
        if (outcome.isComplete) return outcome.tokens;
        const { reason = "incomplete", message = "" } = outcome.error ?? {};
        // Retries only after a redirect, which shows that the request did not run, or after a connection
        // that broke before the first token.
        const isRetryable = outcome.status === 307 || outcome.status === 0;
        if (!isRetryable || outcome.tokens.length > 0 || tried.size >= MAX_ATTEMPTS) {
          throw new LoadError(reason, message);
        }
      }
    },
    async setDataCentre(dataCentre, state) {
      const headers = {
        "content-type": "application/json",
        authorization: `Bearer ${OPERATOR_TOKEN}`,
      };
      const base = system.hosts[0]?.url;
      const path = `/admin/v1/config/data-centres/${encodeURIComponent(dataCentre)}/state`;
      const body = JSON.stringify({ state, why: "Load run" });
      const res = await request(`${base}${path}`, { method: "POST", headers, body });
      const text = await res.body.text();
      if (res.statusCode >= 300) throw new Error(`Change returned "${res.statusCode}": ${text}`);
    },
    async stop() {
      await Promise.all(callers.flatMap((caller) => [caller.close(), caller.source.close()]));
    },
  };
}
