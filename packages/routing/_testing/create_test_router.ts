import { AdmissionRefusedError } from "@jaypass/admission";
import type { AcquireRequest, Admission, Grant, GrantResult } from "@jaypass/admission";
import type { Configuration } from "@jaypass/configuration";
import { EngineError } from "@jaypass/engines";
import type { EngineClient, EngineEvent, EngineRequest } from "@jaypass/engines";
import type { CallLedger } from "@jaypass/idempotency";
import { createClock, createDeadline } from "@jaypass/kernel";
import type { Logger, Metrics } from "@jaypass/kernel";
import type { Membership } from "@jaypass/membership";
import type { PeerPool, PeerServer } from "@jaypass/peers";
import { createRouter } from "../create_router.ts";
import type { RequestError } from "../errors.ts";
import type { ModelRequest } from "../types.ts";

/** Scripted behaviour of an engine for one completion or resumption. */
export type EngineStep =
  | { fail: "refused" | "died" | "silent" | "cut"; afterTokens: number }
  | { hang: true; afterTokens: number }
  | { succeed: true };

/** Calls and counters recorded for a test. */
export interface RouterTrace {
  acquired: AcquireRequest[];
  released: (GrantResult & { server: string })[];
  sent: { server: string; kind: "complete" | "resume"; from: number }[];
  cancelled: string[];
  counters: Record<string, number>;
}

const log = { debug() {}, info() {}, warn() {}, error() {}, child: () => log } as Logger;

/** Returns the token at an index of the answer that all scripted engines produce. */
export const tokenAt = (index: number) => `t${index} `;

/**
 * Creates a router with scripted engines.
 *
 * @param steps behaviour for each completion or resumption, in order; grants are for `engine-0`,
 * `engine-1` and so on
 * @param options failures of admission and the grace time
 */
export function createTestRouter(
  steps: EngineStep[],
  options: { refuse?: AdmissionRefusedError; expireFirstGrant?: boolean; resumeGraceMs?: number } =
    {},
) {
  const clock = createClock();
  const trace: RouterTrace = { acquired: [], released: [], sent: [], cancelled: [], counters: {} };
  let grants = 0;
  const admission: Admission = {
    acquire: (req) => {
      if (options.refuse) return Promise.reject(options.refuse);
      trace.acquired.push(req);
      return Promise.resolve(grantOf(req, `engine-${grants++}`));
    },
    checkDispatch: (grant) => {
      if (!options.expireFirstGrant || grant.servers[0]!.id !== "engine-0") return;
      throw new AdmissionRefusedError("deadline_passed", "Dispatch window has passed");
    },
    release: (grant, result) => trace.released.push({ ...result, server: grant.servers[0]!.id }),
    find: () => Promise.resolve(undefined),
  };

  const runStep = async function* (
    server: string,
    call: {
      kind: "complete" | "resume";
      id: string;
      from: number;
      max: number;
      signal?: AbortSignal;
    },
  ): AsyncGenerator<EngineEvent> {
    trace.sent.push({ server, kind: call.kind, from: call.from });
    const step = steps.shift() ?? { succeed: true };
    const last = "afterTokens" in step
      ? Math.min(call.max, call.from + step.afterTokens)
      : call.max;
    for (let index = call.from; index < last; index++) {
      yield await Promise.resolve({
        type: "token" as const,
        requestId: call.id,
        index,
        text: tokenAt(index),
      });
    }
    if ("hang" in step) await untilAborted(call.signal);
    if ("fail" in step) {
      throw new EngineError(`Engine ${step.fail}`, { code: step.fail, ran: "unknown" });
    }
    yield { type: "end", requestId: call.id, totalTokens: call.max, cachedTokens: 0 };
  };
  const engineFor = (url: string) => ({
    url,
    complete: (req: EngineRequest, { signal }: { signal?: AbortSignal }) =>
      runStep(url, {
        kind: "complete",
        id: req.requestId,
        from: req.generated.length,
        max: req.maxTokens,
        signal,
      }),
    resume: (id: string, from: number, { signal }: { signal?: AbortSignal }) =>
      runStep(url, { kind: "resume", id, from, max: MAX_TOKENS, signal }),
    cancel: (id: string) => {
      trace.cancelled.push(`${url} ${id.replace(/^.*\./, "attempt ")}`);
      return Promise.resolve();
    },
  } as unknown as EngineClient);

  const router = createRouter({
    clock,
    admission,
    configuration: {
      document: () => ({ models: { "lore-1": { bytesPerToken: 4 } } }),
    } as unknown as Configuration,
    membership: { self: () => ({ id: "h1" }), find: () => undefined } as unknown as Membership,
    peers: {} as PeerPool,
    server: { handle() {}, handleStream() {} } as unknown as PeerServer,
    ledger: {} as CallLedger,
    engineFor,
    serviceFor: () => {
      throw new Error("No plain service in this test");
    },
    log,
    metrics: {
      timing() {},
      increment: (name: string, tags: Record<string, string> = {}) => {
        const key = [name, ...Object.values(tags)].join(" ");
        trace.counters[key] = (trace.counters[key] ?? 0) + 1;
      },
    } as unknown as Metrics,
    resumeGraceMs: options.resumeGraceMs,
  });
  return { router, trace, clock };
}

/** Length of each answer in the tests. */
export const MAX_TOKENS = 4;

/**
 * Runs a request and returns the tokens and the outcome that its caller receives.
 *
 * @param test the router under test
 * @param timeoutMs milliseconds until the deadline
 */
export async function runRequest(
  { router, clock }: ReturnType<typeof createTestRouter>,
  timeoutMs = 5_000,
) {
  const req: ModelRequest = {
    requestId: "h1~0~1",
    workspace: "school",
    model: "lore-1",
    prompt: "Is there milk?",
    maxTokens: MAX_TOKENS,
    deadline: createDeadline(timeoutMs, { clock }),
    firstTokenMs: timeoutMs,
  };
  router.complete(req);
  const tokens: string[] = [];
  try {
    const options = { workspace: "school", from: 0, signal: new AbortController().signal };
    for await (const token of router.follow(req.requestId, options)) tokens.push(token.text);
    return { tokens, outcome: "whole" };
  } catch (err) {
    const { reason, ran } = err as RequestError;
    return { tokens, outcome: `${reason} ${ran}` };
  }
}

function grantOf(req: AcquireRequest, server: string): Grant {
  return {
    grantId: `grant of ${server}`,
    requestId: req.requestId,
    pool: "lore-1@gent",
    coordinator: "127.0.0.1:1",
    servers: [{ id: server, url: server, dataCentre: "gent" }],
    priority: 0,
    lane: "short",
    fencing: 1,
    dispatchWithinMs: 1_000,
    explanation: "only server",
  };
}

function untilAborted(signal: AbortSignal | undefined): Promise<never> {
  return new Promise((_, reject) => {
    const onAbort = () => reject(new EngineError("Aborted", { code: "aborted", ran: "unknown" }));
    if (signal?.aborted) onAbort();
    signal?.addEventListener("abort", onAbort, { once: true });
  });
}
