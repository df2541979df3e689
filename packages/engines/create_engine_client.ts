import type { Clock, Metrics } from "@jaypass/kernel";
import { z } from "zod";
import { createConnections } from "./_lib/create_connections.ts";
import type { ExchangeRequest } from "./_lib/open_exchange.ts";
import { readFramedBytes, readJson, readRefusal } from "./_lib/read_answer.ts";
import { readEvents } from "./_lib/read_events.ts";
import { ACTIVE, CACHE_EVENTS, CONFIRMATION, LOAD, ORDER_ANSWER } from "./_lib/schemas.ts";
import { CANCEL_TIMEOUT_MS } from "./constants.ts";
import { EngineError } from "./errors.ts";
import type {
  EngineCallOptions,
  EngineClient,
  EngineEvent,
  EngineRequest,
  EngineStreamOptions,
} from "./types.ts";

/** Options of {@linkcode createEngineClient} and of `createServiceClient`. */
export interface EngineClientOptions {
  /** Monotonic time source. */
  clock: Clock;
  /** Receives a counter `engine.error` by code and `ran`. */
  metrics: Metrics;
}

/**
 * Creates a client of one engine, using the protocol in `docs/engine-protocol.md`.
 *
 * @param url base URL of the engine, for example `http://10.0.0.7:9000`
 * @param options clock and metrics
 * @returns the client; its calls throw `EngineError`
 *
 * @example
 * const engine = createEngineClient(server.url, { clock, metrics });
 * for await (const event of engine.complete(req, { timeoutMs: 60_000, idleTimeoutMs: 2_000 })) {
 *   if (event.type === "token") write(event.text);
 * }
 */
export function createEngineClient(url: string, options: EngineClientOptions): EngineClient {
  const connections = createConnections(url, options);
  const cancellations = new Set<Promise<void>>();

  const callJson = <T>(
    req: ExchangeRequest,
    schema: z.ZodType<T>,
    callOptions: EngineCallOptions,
    requestId?: string,
  ) => connections.run(req, callOptions, (exchange) => readJson(exchange, schema, requestId));

  const cancel = async (requestId: string, callOptions: EngineCallOptions) => {
    const req: ExchangeRequest = { method: "DELETE", path: requestPath(requestId) };
    await callJson(req, CONFIRMATION, callOptions, requestId);
  };
  const cancelInBackground = (requestId: string) => {
    const done = cancel(requestId, { timeoutMs: CANCEL_TIMEOUT_MS })
      // A failure is only counted, because the coordinator finds requests without an owner.
      .catch(() => options.metrics.increment("engine.cancel_failed"))
      .finally(() => cancellations.delete(done));
    cancellations.add(done);
  };

  async function* stream(
    req: ExchangeRequest,
    read: { requestId: string; fromIndex: number; isOwner: boolean },
    streamOptions: EngineStreamOptions,
  ): AsyncGenerator<EngineEvent, void> {
    const exchange = connections.open(req, streamOptions);
    let error: unknown;
    let isEnded = false;
    try {
      const { onAccepted } = streamOptions;
      for await (const event of readEvents(exchange, { ...read, onAccepted })) {
        isEnded ||= event.type === "end";
        yield event;
      }
    } catch (err) {
      error = err;
      throw connections.count(err);
    } finally {
      const code = error instanceof EngineError ? error.code : undefined;
      const isAbandoned = error === undefined ? !isEnded : code === "aborted" || code === "timeout";
      if (isAbandoned) {
        exchange.fail(new EngineError("Stream abandoned", { code: "aborted", ran: "unknown" }));
        if (read.isOwner && exchange.isWritten()) cancelInBackground(read.requestId);
      }
    }
  }

  return {
    url,
    complete: (req, streamOptions) =>
      stream(
        jsonRequest("POST", "/v1/complete", req),
        { requestId: req.requestId, fromIndex: req.generated.length, isOwner: true },
        streamOptions,
      ),
    resume: (requestId, from, streamOptions) =>
      stream(
        { method: "GET", path: `${requestPath(requestId)}/events?from=${from}` },
        { requestId, fromIndex: from, isOwner: false },
        streamOptions,
      ),
    cancel,
    async active(callOptions) {
      const req: ExchangeRequest = { method: "GET", path: "/v1/requests" };
      return (await callJson(req, ACTIVE, callOptions)).requests;
    },
    load: (callOptions) => callJson({ method: "GET", path: "/v1/load" }, LOAD, callOptions),
    async cacheEvents(afterSeq, callOptions) {
      const req: ExchangeRequest = { method: "GET", path: `/v1/cache-events?after=${afterSeq}` };
      return (await callJson(req, CACHE_EVENTS, callOptions)).events;
    },
    async prefill(req: EngineRequest, part, callOptions) {
      const body = jsonRequest("POST", "/v1/prefill", { ...req, ...part });
      await callJson(body, CONFIRMATION, callOptions, req.requestId);
    },
    exportKv: (requestId, callOptions) =>
      connections.run(
        { method: "GET", path: `${requestPath(requestId)}/kv` },
        callOptions,
        async (exchange) => {
          const { status, headers } = await exchange.head();
          if (status !== 200) throw await readRefusal(exchange, requestId);
          connections.checkId(exchange, headers["x-request-id"], requestId);
          return await readFramedBytes(exchange);
        },
      ),
    async importKv(requestId, kv, callOptions) {
      const req: ExchangeRequest = {
        method: "PUT",
        path: `${requestPath(requestId)}/kv`,
        headers: { "content-type": "application/octet-stream" },
        body: kv,
      };
      await callJson(req, CONFIRMATION, callOptions, requestId);
    },
    async order(order, callOptions) {
      await callJson(jsonRequest("POST", "/v1/orders", order), ORDER_ANSWER, callOptions);
    },
    async close() {
      await Promise.all(cancellations);
      await connections.close();
    },
  };
}

function requestPath(requestId: string): string {
  return `/v1/requests/${encodeURIComponent(requestId)}`;
}

function jsonRequest(method: "POST", path: string, body: unknown): ExchangeRequest {
  const headers = { "content-type": "application/json" };
  return { method, path, headers, body: JSON.stringify(body) };
}
