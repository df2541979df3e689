import { AbortedError, sleep } from "@jaypass/kernel";
import type { Clock, Metrics, Millis, RandomSource } from "@jaypass/kernel";
import { READ_ATTEMPTS, RETRY_BASE_DELAY_MS } from "../constants.ts";
import { STORE_FAILURE, StoreError } from "../errors.ts";
import type { CallOptions } from "../types.ts";
import { createConnectionPool } from "./create_connection_pool.ts";
import { toStoreError } from "./to_store_error.ts";

/** Options of the platform's clients. */
export interface PlatformClientOptions {
  /** Base URL of the service, for example `http://127.0.0.1:7000`. */
  baseUrl: string;
  /** Host id, sent with each request. */
  client: string;
  clock: Clock;
  /** Source of random numbers, for the jitter of retry delays. */
  random: RandomSource;
  metrics: Metrics;
}

/** A request of the published protocol. */
export interface StoreRequest {
  method: "GET" | "PUT" | "POST" | "DELETE";
  path: string;
  json?: unknown;
  bytes?: Uint8Array;
}

/** A response with its whole body. */
export interface StoreResponse {
  status: number;
  bytes: Uint8Array;
}

/** Sends requests to one service of the platform. */
export interface StoreTransport {
  /** Sends once. @throws {StoreError} */
  write(request: StoreRequest, options: CallOptions): Promise<StoreResponse>;
  /** Sends, and retries within the deadline after a failure. @throws {StoreError} */
  read(request: StoreRequest, options: CallOptions): Promise<StoreResponse>;
  close(): Promise<void>;
}

/** Creates the transport of one service; `service` names it in metrics and errors. */
export function createStoreTransport(
  service: string,
  options: PlatformClientOptions,
): StoreTransport {
  const { client, clock, random, metrics } = options;
  const connections = createConnectionPool(options.baseUrl);

  const send = async (
    request: StoreRequest,
    timeoutMs: Millis,
    parent?: AbortSignal,
  ): Promise<StoreResponse> => {
    if (parent?.aborted) {
      throw new StoreError(`Call to "${service}" aborted`, {
        reason: STORE_FAILURE.ABORTED,
        mayTakeEffect: false,
        cause: parent.reason,
      });
    }
    const pool = connections.current();
    const timeout = AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs)));
    try {
      const res = await pool.request({
        method: request.method,
        path: request.path,
        body: request.json === undefined ? request.bytes : JSON.stringify(request.json),
        headers: { "x-client": client, "content-type": "application/json" },
        signal: parent ? AbortSignal.any([timeout, parent]) : timeout,
      });
      const bytes = new Uint8Array(await res.body.arrayBuffer());
      if (res.statusCode < 400 || res.statusCode === 404 || res.statusCode === 409) {
        return { status: res.statusCode, bytes };
      }
      throw refusal(service, res.statusCode, bytes);
    } catch (err) {
      // Undici closes the connection of an aborted request, so it is never used again.
      if (timeout.aborted && connections.replace(pool)) {
        metrics.increment("platform.connections_replaced", { service });
      }
      const error = toStoreError(service, err, {
        isTimeout: timeout.aborted,
        isAborted: parent?.aborted ?? false,
      });
      metrics.increment("platform.failure", { service, reason: error.reason });
      throw error;
    }
  };

  return {
    write: (request, { timeoutMs, signal }) => send(request, timeoutMs, signal),
    async read(request, { timeoutMs, signal }) {
      const endMs = clock.nowMs() + timeoutMs;
      for (let attempt = 1;; attempt++) {
        const remainingMs = endMs - clock.nowMs();
        const isLast = attempt === READ_ATTEMPTS;
        try {
          // Half of the time is kept for a retry on another connection if this one is unresponsive.
          return await send(request, isLast ? remainingMs : remainingMs / 2, signal);
        } catch (err) {
          const { reason } = err as StoreError;
          const pauseMs = RETRY_BASE_DELAY_MS * 2 ** (attempt - 1) * random();
          const isFinal = isLast || reason === STORE_FAILURE.ABORTED ||
            reason === STORE_FAILURE.PROTOCOL || endMs - clock.nowMs() <= pauseMs;
          if (isFinal) throw err;
          metrics.increment("platform.retry", { service, reason });
          await sleep(pauseMs, signal).catch((cause) => {
            throw cause instanceof AbortedError ? err : cause;
          });
        }
      }
    },
    close: () => connections.close(),
  };
}

function refusal(service: string, status: number, bytes: Uint8Array): StoreError {
  const body = new TextDecoder().decode(bytes);
  // Only a body with `tookEffect: false` proves that a write had no effect.
  const isProven = body.includes('"tookEffect":false');
  return new StoreError(`Service "${service}" answered "${status}"`, {
    reason: status === 429
      ? STORE_FAILURE.OVER_BUDGET
      : status === 503
      ? STORE_FAILURE.UNAVAILABLE
      : STORE_FAILURE.PROTOCOL,
    mayTakeEffect: !isProven,
    cause: body.slice(0, 200),
  });
}
