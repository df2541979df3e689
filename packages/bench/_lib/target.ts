import type { Arrival } from "../make_workload.ts";

/** What is measured: a rule that chooses engines, or jaypass itself. */
export interface Target {
  name: string;
  /** The text that an engine gets for a prompt, by which the answer is verified. */
  enginePrompt(prompt: string): string;
  /** Sends one request and returns the tokens of its answer. Rejects unless it ended as whole. */
  send(
    arrival: Arrival,
    prompt: string,
    options: { signal: AbortSignal; timeoutMs: number; onToken: () => void },
  ): Promise<string[]>;
  /** Takes a data centre out of service or puts it back. */
  setDataCentre(dataCentre: string, state: "in" | "out"): Promise<void>;
  stop(): Promise<void>;
}
