import { hashPrefixBlocks, PREFIX_BLOCK_TOKENS } from "@jaypass/engines";
import type { EngineSettings } from "../engine_types.ts";
import type { EngineJob } from "./engine_job.ts";
import { hashPrompt, tokenAt } from "./token_at.ts";

/** A request for the engine core. */
export interface CoreRequest {
  requestId: string;
  model: string;
  prompt: string;
  generated: string[];
  maxTokens: number;
  priority: number;
  fencing: number;
  part?: { fromToken: number; toToken: number };
  /** The request is refused if the restart counter has another value. */
  expectedRestartCount?: number | undefined;
}

/** Engine state that a job is created with. */
export interface JobContext {
  settings: EngineSettings;
  /**
   * Number of leading prompt tokens whose KV cache is stored under the request id, computed here or
   * imported.
   */
  coveredTokens: number;
  restartCount: number;
  cold: boolean;
  order: number;
  acceptedMs: number;
}

/** Creates the job of a request, with its cache blocks, private memory and log record. */
export function createJob(req: CoreRequest, context: JobContext): EngineJob {
  const { bytesPerToken } = context.settings;
  const digest = hashPrompt(req.prompt);
  const promptTokens = Math.max(1, Math.ceil(Buffer.byteLength(req.prompt) / bytesPerToken));
  const fromToken = req.part?.fromToken ?? Math.min(context.coveredTokens, promptTokens - 1);
  const toToken = Math.min(req.part?.toToken ?? promptTokens, promptTokens);
  const firstBlock = Math.floor(fromToken / PREFIX_BLOCK_TOKENS);
  const blocks = hashPrefixBlocks(req.prompt, bytesPerToken)
    .slice(firstBlock, Math.floor(toToken / PREFIX_BLOCK_TOKENS));
  const restTokens = toToken - (firstBlock + blocks.length) * PREFIX_BLOCK_TOKENS;
  return {
    requestId: req.requestId,
    record: {
      requestId: req.requestId,
      fencing: req.fencing,
      priority: req.priority,
      kind: req.part ? "prefill" : "complete",
      promptTokens,
      cachedTokens: 0,
      foreignTokens: req.generated.some((text, index) => text !== tokenAt(digest, index)),
      life: context.restartCount,
      cold: context.cold,
      acceptedMs: context.acceptedMs,
    },
    priority: req.priority,
    order: context.order,
    digest,
    isPoison: false,
    blocks,
    privateTokens: restTokens + (req.part ? 0 : req.maxTokens),
    firstBlock,
    cachedTokens: 0,
    computedTokens: fromToken,
    prefillTo: toToken,
    isPart: req.part !== undefined,
    isStuck: false,
    firstIndex: req.generated.length,
    maxTokens: req.maxTokens,
    tokens: [],
    state: "waiting",
    endedAtMs: 0,
    listeners: new Set(),
    onEnd: [],
  };
}
