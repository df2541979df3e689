import { IDENTIFY, PROBE_VIA } from "./messages.ts";
import { PROBE_HELPER_COUNT, PROBE_TIMEOUT_MS } from "../constants.ts";
import type { HostRecord } from "./host_record.ts";
import type { Metrics, RandomSource } from "@jaypass/kernel";
import type { PeerPool } from "@jaypass/peers";

/** Result of an indirect probe; `unknown` when no helper answered. */
export type ProbeResult = "answered" | "silent" | "unknown";

/** Which process runs at an address. */
export type Identity = { host: string; incarnation: string };

/** Options of {@linkcode createProber}. */
export interface ProberOptions {
  peers: PeerPool;
  random: RandomSource;
  metrics: Metrics;
}

/** Asks hosts directly or through others which process they run. */
export interface Prober {
  identify(address: string, timeoutMs?: number): Promise<Identity | undefined>;
  probeVia(
    target: HostRecord,
    helpers: HostRecord[],
    signal: AbortSignal,
  ): Promise<ProbeResult>;
}

/** Creates a prober. */
export function createProber(options: ProberOptions): Prober {
  const { peers, random, metrics } = options;
  return {
    async identify(address, timeoutMs = PROBE_TIMEOUT_MS / 2) {
      try {
        return await peers.call(address, IDENTIFY, {}, { timeoutMs });
      } catch {
        return undefined;
      }
    },

    async probeVia(target, helpers, signal) {
      // With two hosts nobody can confirm the silence.
      if (helpers.length === 0) return "silent";
      const left = [...helpers];
      const chosen = Array.from(
        { length: Math.min(PROBE_HELPER_COUNT, left.length) },
        () => left.splice(Math.floor(random() * left.length), 1)[0]!,
      );
      const req = { address: target.peerAddress };
      const answers = await Promise.all(chosen.map(async ({ peerAddress }) => {
        try {
          const callOptions = { timeoutMs: PROBE_TIMEOUT_MS, signal };
          const { answer } = await peers.call(peerAddress, PROBE_VIA, req, callOptions);
          return answer?.host === target.id ? "answered" : "silent";
        } catch {
          return "unknown";
        }
      }));
      const result = (["answered", "silent"] as const).find((value) => answers.includes(value)) ??
        "unknown";
      metrics.increment("membership_probe", { result });
      return result;
    },
  };
}
