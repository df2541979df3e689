import type { AcceptedRecord } from "../engine_types.ts";

/** An event of a stream as it is written on the wire. */
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
  /** Order of acceptance. */
  order: number;
  digest: string;
  isPoison: boolean;
  /** Blocks and private tokens that it holds while it runs. */
  blocks: string[];
  privateTokens: number;
  /** Index of the first of `blocks` among all blocks of the prompt. */
  firstBlock: number;
  cachedTokens: number;
  /** Prompt tokens whose KV cache is present, and where its prefill ends. */
  computedTokens: number;
  prefillTo: number;
  /** Whether only a part of the prompt is computed, without an answer. */
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

/** Memory in tokens that a job holds now. */
export function heldTokens(job: EngineJob, blockTokens: number): number {
  if (job.state === "waiting" || job.state === "finished") return 0;
  return job.blocks.length * blockTokens + job.privateTokens;
}
