import type { Attempt } from "./run_attempt.ts";
import type { RouterContext } from "./router_context.ts";

/**
 * Computes the KV cache of a prompt that exceeds the memory of one engine on the granted engines.
 *
 * The parts are computed in sequence, because each part attends to the earlier ones: every engine
 * imports the KV cache of the previous engines, then adds its own part.
 *
 * @param attempt an attempt with a grant for several engines
 * @param context shared services of the router
 * @throws the engine client's error if a part failed
 */
export async function prefillParts(attempt: Attempt, context: RouterContext): Promise<void> {
  const { req, grant, attemptId, signal } = attempt;
  const model = context.configuration.document().models[req.model]!;
  const promptTokens = Math.ceil(Buffer.byteLength(req.prompt) / model.bytesPerToken);
  const engineServers = [...grant.servers].reverse();
  const partTokens = Math.ceil(promptTokens / engineServers.length);
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
  for (const [i, server] of engineServers.entries()) {
    const engine = context.engineFor(server.url);
    if (kv) await engine.importKv(attemptId, kv, options());
    const part = {
      fromToken: i * partTokens,
      toToken: Math.min(promptTokens, (i + 1) * partTokens),
    };
    const partReq = { ...engineReq, expectedRestartCount: server.restartCount };
    await engine.prefill(partReq, part, options());
    if (i < engineServers.length - 1) kv = await engine.exportKv(attemptId, options());
  }
}
