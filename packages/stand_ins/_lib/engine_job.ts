import type { AcceptedRecord } from "../engine_types.ts";

/** An event of a stream as sent to clients. */
export type WireEvent =
  | { type: "accepted"; requestId: string; restartCount: number }
  | { type: "progress"; requestId: string; computedTokens: number }
  | { type: "token"; requestId: string; index: number; text: string }
  | { type: "end"; requestId: string; totalTokens: number; cachedTokens: number }
  | { type: "error"; requestId: string; code: string; message: string };

/** A request inside the engine. */
export interface EngineJob {
  requestId: string;
  record: AcceptedRecord;
  priority: number;
  /** Sequence number in order of acceptance. */
  order: number;
  digest: string;
  isPoison: boolean;
  /** Cache blocks that it holds while it runs; `privateTokens` is its memory beyond them. */
  blocks: string[];
  privateTokens: number;
  /** Index of the first of `blocks` among all blocks of the prompt. */
  firstBlock: number;
  cachedTokens: number;
  /** Number of prompt tokens whose KV cache is present; the prefill ends at `prefillTo`. */
  computedTokens: number;
  prefillTo: number;
  /** True for a prefill of a part of the prompt, which generates no answer. */
  isPart: boolean;
  isStuck: boolean;
  firstIndex: number;
  maxTokens: number;
  tokens: string[];
  state: "waiting" | "running" | "finished" | "reserved";
  endedAtMs: number;
  listeners: Set<(event: WireEvent) => void>;
  /** Called once when the job ends, is cancelled or is lost. */
  onEnd: ((outcome: "done" | "cancelled" | "lost") => void)[];
}

/** Returns the memory in tokens that a job holds now. */
export function heldTokens(job: EngineJob, blockTokens: number): number {
  if (job.state === "waiting" || job.state === "finished") return 0;
  return job.blocks.length * blockTokens + job.privateTokens;
}
