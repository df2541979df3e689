import type { Arrival } from "../make_workload.ts";

/** System under load: a baseline policy that chooses engines, or jaypass. */
export interface Target {
  name: string;
  /** Returns the text that an engine receives for a prompt; the expected answer depends on it. */
  enginePrompt(prompt: string): string;
  /** Sends a request and returns the tokens of its answer. Rejects unless the answer is complete. */
  send(
    arrival: Arrival,
    prompt: string,
    options: { signal: AbortSignal; timeoutMs: number; onToken: () => void },
  ): Promise<string[]>;
  /** Takes a data centre out of service or puts it back into service. */
  setDataCentre(dataCentre: string, state: "in" | "out"): Promise<void>;
  stop(): Promise<void>;
}
