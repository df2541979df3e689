import { createConnections } from "./_lib/create_connections.ts";
import type { Exchange, ExchangeRequest } from "./_lib/open_exchange.ts";
import { protocolError, readFramedBytes, readJson, readRefusal } from "./_lib/read_answer.ts";
import { CONFIRMATION, LOAD, STORED_RESULT } from "./_lib/schemas.ts";
import type { EngineClientOptions } from "./create_engine_client.ts";
import { EngineError } from "./errors.ts";
import type { ServiceClient, ServiceRequest, ServiceResponse } from "./types.ts";

/**
 * Creates a client of one server of a plain service.
 *
 * @param url base URL of the server
 * @param options clock and metrics
 * @returns the client; its calls throw `EngineError`
 *
 * @example
 * const client = createServiceClient(server.url, { clock, metrics });
 * const res = await client.call(req, { timeoutMs: 5_000, freshConnection: true });
 */
export function createServiceClient(url: string, options: EngineClientOptions): ServiceClient {
  const connections = createConnections(url, options);

  const readResponse = async (exchange: Exchange, requestId: string): Promise<ServiceResponse> => {
    const { status, headers } = await exchange.head();
    // The header distinguishes a refusal by the server from an answer with an error status.
    if (headers["x-refused"] !== undefined) throw await readRefusal(exchange, requestId);
    connections.checkId(exchange, headers["x-request-id"], requestId);
    const body = await readFramedBytes(exchange);
    return {
      requestId,
      status,
      contentType: String(headers["content-type"] ?? "application/octet-stream"),
      body,
      restartCount: Number(headers["x-restart-count"] ?? 0),
    };
  };

  return {
    url,
    call(req, callOptions) {
      const run = callOptions.freshConnection ? connections.runFresh : connections.run;
      return run(toExchange(req), callOptions, (exchange) => readResponse(exchange, req.requestId));
    },
    async raiseFence(key, fencing, callOptions) {
      const req: ExchangeRequest = {
        method: "PUT",
        path: `/v1/fences/${encodeURIComponent(key)}`,
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ fencing }),
      };
      // The key serves as the request id, so that an answer to another key is detected. A new
      // connection holds no earlier answer to the same key.
      await connections.runFresh(
        req,
        callOptions,
        (exchange) => readJson(exchange, CONFIRMATION, key),
      );
    },
    async lookup(key, callOptions) {
      const path = `/v1/results/${encodeURIComponent(key)}`;
      try {
        // An answer without a result names no key. A new connection holds no earlier answer.
        const stored = await connections.runFresh(
          { method: "GET", path },
          callOptions,
          (exchange) => readJson(exchange, STORED_RESULT),
        );
        if (stored.key !== key) throw protocolError(`Result belongs to key "${stored.key}"`);
        const { key: _key, body, ...rest } = stored;
        return { ...rest, body: Buffer.from(body, "base64") };
      } catch (err) {
        if (err instanceof EngineError && err.reason === "no_result") return undefined;
        throw err;
      }
    },
    load: (callOptions) =>
      connections.run(
        { method: "GET", path: "/v1/load" },
        callOptions,
        (exchange) => readJson(exchange, LOAD),
      ),
    close: connections.close,
  };
}

function toExchange(req: ServiceRequest): ExchangeRequest {
  return {
    method: "POST",
    path: `/v1/operations/${encodeURIComponent(req.operation)}`,
    headers: {
      "content-type": req.contentType,
      "x-request-id": req.requestId,
      ...(req.key !== undefined && { "idempotency-key": req.key }),
      ...(req.fencing !== undefined && { "fencing-number": String(req.fencing) }),
      ...(req.expectedRestartCount !== undefined &&
        { "expected-restart-count": String(req.expectedRestartCount) }),
    },
    body: req.body,
  };
}
