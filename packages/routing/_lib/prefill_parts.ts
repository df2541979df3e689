import type { Attempt } from "./run_attempt.ts";
import type { RouterContext } from "./router_context.ts";

/**
 * Computes the KV cache of a prompt that is larger than one engine over the granted engines.
 *
 * The parts are computed in order, because each part attends to the ones before it: every engine
 * imports what its predecessors computed, then adds its own part.
 *
 * @param attempt a grant for several engines
 * @param context the router's parts
 * @throws the engine client's error when a part failed
 */
export async function prefillParts(attempt: Attempt, context: RouterContext): Promise<void> {
  const { req, grant, attemptId, signal } = attempt;
  const model = context.configuration.document().models[req.model]!;
  const promptTokens = Math.ceil(Buffer.byteLength(req.prompt) / model.bytesPerToken);
  const holders = [...grant.servers].reverse();
  const partTokens = Math.ceil(promptTokens / holders.length);
  const options = () => ({ timeoutMs: req.deadline.remainingMs(), signal });
  const engineReq = {
    requestId: attemptId,
    model: req.model,
    prompt: req.prompt,
    generated: [],
    maxTokens: req.maxTokens,
    priority: grant.priority,
    fencing: grant.fencing,
  };
  let kv: Uint8Array | undefined;
  for (const [i, server] of holders.entries()) {
    const engine = context.engineFor(server.url);
    if (kv) await engine.importKv(attemptId, kv, options());
    const part = {
      fromToken: i * partTokens,
      toToken: Math.min(promptTokens, (i + 1) * partTokens),
    };
    await engine.prefill(engineReq, part, options());
    if (i < holders.length - 1) kv = await engine.exportKv(attemptId, options());
  }
}
