import { createTaskGroup } from "@jaypass/kernel";
import type { Millis } from "@jaypass/kernel";
import type { PeerServer } from "@jaypass/peers";
import { callPlainService } from "./_lib/call_plain_service.ts";
import { createUnknownRequestError, followRemote } from "./_lib/follow_remote.ts";
import { runCompletion } from "./_lib/run_completion.ts";
import type { RouterContext } from "./_lib/router_context.ts";
import { serveResume } from "./_lib/serve_resume.ts";
import { RESUME_GRACE_MS } from "./constants.ts";
import { createAnswerStore } from "./create_answer_store.ts";
import type { AnswerEntry } from "./create_answer_store.ts";
import { createDecisionLog } from "./create_decision_log.ts";
import { createRetryBudget } from "./create_retry_budget.ts";
import { EXPLAIN_METHOD, RESUME_METHOD } from "./peer_methods.ts";
import type { FollowOptions, ModelRequest, Router } from "./types.ts";

/** Options of {@linkcode createRouter}. */
export interface RouterOptions
  extends Omit<RouterContext, "answers" | "decisions" | "retryBudget"> {
  server: PeerServer;
  /** Time for which a request continues without its caller; 5 s by default. */
  resumeGraceMs?: Millis;
}

/**
 * Creates the router, which runs each request from admission to the last token.
 *
 * @param options services that the router uses
 * @returns the router, with its peer methods registered
 *
 * @example
 * const router = createRouter({ clock, admission, configuration, ... });
 * const answer = router.complete(req);
 */
export function createRouter(options: RouterOptions): Router {
  const context: RouterContext = {
    ...options,
    answers: createAnswerStore(),
    decisions: createDecisionLog(options.clock),
    retryBudget: createRetryBudget(),
  };
  const { answers, decisions } = context;
  const tasks = createTaskGroup({
    onError: (name, err) => context.log.error({ name, err }, "Request task failed"),
  });
  let running = 0;
  const idleWaiters = new Set<() => void>();

  const trackRunning = async <T>(work: () => Promise<T>): Promise<T> => {
    running++;
    try {
      return await work();
    } finally {
      running--;
      if (running === 0) { for (const onIdle of [...idleWaiters]) onIdle(); }
    }
  };

  const complete = (req: ModelRequest) => {
    const { bytesPerToken } = context.configuration.document().models[req.model]!;
    const entry = answers.create({
      requestId: req.requestId,
      workspace: req.workspace,
      model: req.model,
      promptTokens: Math.ceil(Buffer.byteLength(req.prompt) / bytesPerToken),
    });
    context.retryBudget.deposit(req.workspace);
    const abandonment = abortWhenUnfollowed(entry, options.resumeGraceMs ?? RESUME_GRACE_MS);
    const signal = AbortSignal.any([req.deadline.signal, abandonment.signal]);
    tasks.run(req.requestId, () =>
      trackRunning(async () => {
        try {
          await runCompletion(req, entry, { ...context, signal });
        } finally {
          abandonment.clear();
          req.deadline.clear();
        }
      }));
    return entry.answer;
  };

  const follow = (requestId: string, followOptions: FollowOptions) => {
    const entry = answers.find(requestId);
    if (entry === undefined) return followRemote(requestId, followOptions, context);
    if (entry.answer.workspace !== followOptions.workspace) {
      throw createUnknownRequestError(requestId);
    }
    return entry.follow(followOptions.from, followOptions.signal);
  };

  options.server.handleStream(RESUME_METHOD, (req, call) => serveResume(answers, req, call));
  options.server.handle(
    EXPLAIN_METHOD,
    (req) => Promise.resolve({ decisions: decisions.find(req.requestId) ?? [] }),
  );

  return {
    complete,
    callService: (req) => {
      context.retryBudget.deposit(req.workspace);
      return trackRunning(() => callPlainService(req, context));
    },
    follow,
    explain: (requestId) => decisions.find(requestId),
    running: () => running,
    drain: async () => {
      while (running > 0) {
        await new Promise<void>((resolve) => {
          const onIdle = () => {
            idleWaiters.delete(onIdle);
            resolve();
          };
          idleWaiters.add(onIdle);
        });
      }
    },
  };
}

/** Aborts a request without followers after a grace time, so that its engine memory is freed. */
function abortWhenUnfollowed(
  entry: AnswerEntry,
  graceMs: Millis,
): { signal: AbortSignal; clear: () => void } {
  const controller = new AbortController();
  const abort = () => controller.abort(new Error("Caller is gone"));
  let timer = setTimeout(abort, graceMs);
  entry.onFollowerCountChange((followers) => {
    clearTimeout(timer);
    if (followers === 0) timer = setTimeout(abort, graceMs);
  });
  return { signal: controller.signal, clear: () => clearTimeout(timer) };
}
