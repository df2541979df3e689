import type { Arrival } from "../make_workload.ts";

/** What is measured: a rule that chooses engines, or jaypass itself. */
export interface Target {
  name: string;
  /** Sends one request; tokens are passed on as they come. Rejects unless the answer was whole. */
  send(
    arrival: Arrival,
    prompt: string,
    options: { signal: AbortSignal; timeoutMs: number; onToken: (text: string) => void },
  ): Promise<void>;
  /** Told when a data centre is taken out or put back. */
  setDataCentre(dataCentre: string, state: "in" | "out"): Promise<void>;
  stop(): Promise<void>;
}
