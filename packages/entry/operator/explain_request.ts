import { EXPLAIN_METHOD, parseRequestId } from "@jaypass/routing";
import type { Decision } from "@jaypass/routing";
import type { ExplanationResponse } from "@jaypass/configuration";
import type { OperatorContext } from "./operator_context.ts";

/** Timeout of the call to the accepting host. */
const EXPLAIN_TIMEOUT_MS = 1_500;

/**
 * Returns the decisions for a request, from the host that accepted it.
 *
 * @param requestId the request's id
 * @param context shared services of the operator handlers
 * @returns the explanation, or `undefined` if the host does not know the request or does not answer
 */
export async function explainRequest(
  requestId: string,
  context: OperatorContext,
): Promise<ExplanationResponse | undefined> {
  const decisions = await findDecisions(requestId, context);
  const first = decisions[0];
  const last = decisions.at(-1);
  if (first === undefined || last === undefined) return undefined;
  return {
    requestId,
    host: parseRequestId(requestId)?.host ?? "",
    workspace: String(first.detail.workspace ?? ""),
    outcome: last.event,
    steps: decisions.map(({ atMs, event, detail }) => ({
      atMs: atMs - first.atMs,
      step: event,
      detail: Object.entries(detail).map(([name, value]) => `${name}=${value}`).join(" "),
    })),
  };
}

async function findDecisions(requestId: string, context: OperatorContext): Promise<Decision[]> {
  const own = context.router.explain(requestId);
  if (own !== undefined) return own;
  const host = context.membership.find(parseRequestId(requestId)?.host ?? "");
  if (host === undefined || host.id === context.membership.self().id) return [];
  try {
    const options = { timeoutMs: EXPLAIN_TIMEOUT_MS };
    const res = await context.peers.call(host.peerAddress, EXPLAIN_METHOD, { requestId }, options);
    return res.decisions as Decision[];
  } catch {
    return [];
  }
}
