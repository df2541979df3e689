import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";
import type { EngineFaultState, EngineSettings } from "../engine_types.ts";
import type { CoreRefusal, EngineCore } from "./create_engine_core.ts";
import type { CoreRequest } from "./create_job.ts";
import type { EngineJob } from "./engine_job.ts";
import { readBody, sendJson } from "./http_helpers.ts";
import { writeStream } from "./write_stream.ts";

const COMPLETION = z.object({
  requestId: z.string().min(1),
  model: z.string(),
  prompt: z.string(),
  generated: z.array(z.string()).default([]),
  maxTokens: z.number().int().positive(),
  priority: z.number(),
  fencing: z.number(),
  expectedRestartCount: z.number().optional(),
});

const PREFILL = COMPLETION.extend({
  fromToken: z.number().int().min(0),
  toToken: z.number().int().positive(),
});

const ORDER = z.object({
  kind: z.enum(["load_model", "load_adapter", "set_version", "set_role", "unload_model"]),
  name: z.string(),
  version: z.string(),
  fencing: z.number(),
});

const KV = z.object({ digest: z.string(), coversTo: z.number().int().positive() });

const REFUSAL_STATUS: Record<string, number> = {
  overloaded: 503,
  too_large: 413,
  unknown_model: 404,
  missing_kv: 409,
  duplicate_id: 409,
  restarted: 409,
};

/** Services and state that the routes of an engine share. */
export interface EngineRouteContext {
  core: EngineCore;
  settings: EngineSettings;
  faults: EngineFaultState;
  isSilent: (res: ServerResponse) => boolean;
}

/** Serves a request of the engine protocol. */
export async function serveEngine(
  req: IncomingMessage,
  res: ServerResponse,
  context: EngineRouteContext,
): Promise<void> {
  const { core } = context;
  const url = new URL(req.url ?? "/", "http://engine");
  const body = await readBody(req);
  if (context.isSilent(res)) return;
  const route = `${req.method} ${url.pathname}`;
  if (route === "POST /v1/complete") return complete(body, res, context);
  if (route === "POST /v1/prefill") return prefill(body, res, context);
  if (route === "GET /v1/requests") return sendJson(res, 200, { requests: core.active() });
  if (route === "GET /v1/load") return sendJson(res, 200, core.load());
  if (route === "GET /v1/cache-events") {
    const after = Number(url.searchParams.get("after") ?? 0);
    return sendJson(res, 200, { events: core.cacheEvents(after) });
  }
  if (route === "POST /v1/orders") {
    const order = parse(ORDER, body, res);
    if (!order) return;
    if (core.order(order)) return sendJson(res, 200, { accepted: true });
    return refuse(res, "stale_fencing", "not_run", 409);
  }
  const [, requestId = "", rest] = /^\/v1\/requests\/([^/]+)(\/events|\/kv)?$/
    .exec(url.pathname)?.map((part) => decodeURIComponent(part ?? "")) ?? [];
  if (requestId === "") return refuse(res, "unknown_path", "not_run", 404);
  if (req.method === "DELETE" && rest === "") {
    if (!context.faults.ignoreCancel) core.cancel(requestId);
    return sendJson(res, 200, { requestId });
  }
  if (req.method === "GET" && rest === "/events") {
    const job = core.find(requestId);
    if (!job) return refuse(res, "unknown_request", "unknown", 404, requestId);
    return stream(res, job, Number(url.searchParams.get("from") ?? 0), context);
  }
  if (req.method === "GET" && rest === "/kv") {
    const kv = core.coverage(requestId);
    if (!kv) return refuse(res, "unknown_request", "not_run", 404, requestId);
    return sendJson(res, 200, kv, { "x-request-id": requestId });
  }
  if (req.method === "PUT" && rest === "/kv") {
    const kv = parse(KV, body, res);
    if (!kv) return;
    core.setCoverage(requestId, kv.digest, kv.coversTo);
    return sendJson(res, 200, { requestId });
  }
  refuse(res, "unknown_path", "not_run", 404);
}

function complete(body: Buffer, res: ServerResponse, context: EngineRouteContext) {
  const job = admit(parse(COMPLETION, body, res), res, context);
  if (!job) return;
  if (context.faults.dropNext) {
    context.faults.dropNext -= 1;
    res.socket?.resetAndDestroy();
    return;
  }
  stream(res, job, 0, context);
}

function prefill(body: Buffer, res: ServerResponse, context: EngineRouteContext) {
  const req = parse(PREFILL, body, res);
  const part = req && { fromToken: req.fromToken, toToken: req.toToken };
  const job = admit(req && { ...req, part }, res, context);
  if (!job) return;
  const { requestId } = job;
  job.onEnd.push((outcome) => {
    if (outcome === "lost" || context.isSilent(res)) return;
    if (outcome === "cancelled") return refuse(res, "cancelled", "ran", 409, requestId);
    context.core.recordPrefilledPart(job);
    sendJson(res, 200, { requestId, computedTokens: job.computedTokens });
  });
}

function admit(
  req: CoreRequest | undefined,
  res: ServerResponse,
  context: EngineRouteContext,
): EngineJob | undefined {
  if (!req) return undefined;
  const { core, faults } = context;
  const { expectedRestartCount } = req;
  if (expectedRestartCount !== undefined && expectedRestartCount !== core.restartCount()) {
    refuse(res, "restarted", "not_run", REFUSAL_STATUS.restarted!, req.requestId);
    return undefined;
  }
  const outcome: EngineJob | CoreRefusal = faults.refuseAll
    ? { code: "overloaded", ran: false }
    : core.accept(req);
  if ("requestId" in outcome) return outcome;
  // The crash has already broken the connection, so no response can be sent.
  if (outcome.code === "crashed") return undefined;
  const ran = outcome.ran ? "ran" : "not_run";
  refuse(res, outcome.code, ran, REFUSAL_STATUS[outcome.code] ?? 400, req.requestId);
  return undefined;
}

function stream(res: ServerResponse, job: EngineJob, from: number, context: EngineRouteContext) {
  writeStream(res, job, {
    fromIndex: from,
    restartCount: context.core.restartCount(),
    keepAliveMs: context.settings.keepAliveMs,
    faults: context.faults,
    isSilent: () => context.isSilent(res),
    endEvent: () => {
      const { requestId, record } = job;
      if (record.outcome === "done") return context.core.endEvent(job);
      return { type: "error", requestId, code: "cancelled", message: "Request cancelled" };
    },
  });
}

function refuse(
  res: ServerResponse,
  code: string,
  ran: "not_run" | "unknown" | "ran",
  status: number,
  requestId?: string,
) {
  sendJson(res, status, { error: { code, ran, ...(requestId && { requestId }) } });
}

function parse<T>(schema: z.ZodType<T>, body: Buffer, res: ServerResponse): T | undefined {
  try {
    return schema.parse(JSON.parse(body.toString()));
  } catch {
    refuse(res, "invalid", "not_run", 400);
    return undefined;
  }
}
