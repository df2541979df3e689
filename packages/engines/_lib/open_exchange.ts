import type { Clock, Millis } from "@jaypass/kernel";
import type { Dispatcher } from "undici";
import { EngineError } from "../errors.ts";
import type { EngineErrorCode } from "../types.ts";

/** Bytes of an answer that may be queued for its reader before the connection is paused. */
const MAX_QUEUED_BYTES = 262_144;

/** An HTTP request to a server. */
export interface ExchangeRequest {
  method: "GET" | "POST" | "PUT" | "DELETE";
  path: string;
  headers?: Record<string, string>;
  body?: string | Uint8Array;
}

/** Limits of an exchange. */
export interface ExchangeOptions {
  clock: Clock;
  /** Timeout of the whole exchange. */
  timeoutMs: Millis;
  /** Longest time without received bytes after the request was written. */
  idleTimeoutMs?: Millis;
  signal?: AbortSignal;
  beforeSend?: () => void;
}

/** Status and headers of an answer. */
export interface ExchangeHead {
  status: number;
  headers: Record<string, string | string[] | undefined>;
}

/** One request and its answer, which have a connection to themselves. */
export interface Exchange {
  head(): Promise<ExchangeHead>;
  /** Reads the next part of the body; `undefined` after its regular end. */
  read(): Promise<Uint8Array | undefined>;
  /** Reports whether bytes of the request may have been written. */
  isWritten(): boolean;
  /** Reports whether the exchange has ended, with a complete answer or a failure. */
  isOver(): boolean;
  /**
   * Fails the exchange and closes its connection, unless the answer is complete. Returns the error.
   */
  fail(err: EngineError): EngineError;
}

/**
 * Sends a request and reads its answer, with an idle timeout and a total timeout.
 *
 * Failures before the first byte was written have `ran: "not_run"`; the request is not written
 * afterwards either, even if its connection is established after the failure.
 */
export function openExchange(
  dispatcher: Dispatcher,
  req: ExchangeRequest,
  options: ExchangeOptions,
): Exchange {
  const { clock, signal } = options;
  const endMs = clock.nowMs() + options.timeoutMs;
  const queue: Uint8Array[] = [];
  let queuedBytes = 0;
  let controller: Dispatcher.DispatchController | undefined;
  let head: ExchangeHead | undefined;
  let isWritten = false;
  let isEnded = false;
  let failure: EngineError | undefined;
  let lastReadMs = clock.nowMs();
  let timer: NodeJS.Timeout | undefined;
  let notifyReader = () => {};

  const settle = () => {
    clearTimeout(timer);
    signal?.removeEventListener("abort", onAbort);
    notifyReader();
  };
  const fail = (err: EngineError) => {
    if (failure) return failure;
    failure = err;
    settle();
    if (!isEnded) controller?.abort(err);
    return err;
  };
  const failWith = (code: EngineErrorCode, message: string, cause?: unknown) =>
    fail(new EngineError(message, { code, ran: isWritten ? "unknown" : "not_run", cause }));
  const onAbort = () => failWith("aborted", "Call aborted", signal?.reason);
  const idleEndMs = () =>
    options.idleTimeoutMs !== undefined && isWritten && !controller?.paused
      ? lastReadMs + options.idleTimeoutMs
      : Infinity;
  // One timer serves both limits; it is set again if data arrived in the meantime.
  const checkTimeouts = () => {
    const nowMs = clock.nowMs();
    if (nowMs >= endMs) {
      failWith("timeout", `No whole answer within "${Math.round(options.timeoutMs)}" ms`);
    } else if (nowMs >= idleEndMs()) {
      failWith("silent", `Nothing received for "${options.idleTimeoutMs}" ms`);
    } else {
      const waitMs = Math.min(endMs - nowMs, idleEndMs() - nowMs, options.idleTimeoutMs ?? 1e9);
      timer = setTimeout(checkTimeouts, Math.max(1, Math.ceil(waitMs)));
    }
  };
  const waitForChange = () => new Promise<void>((resolve) => (notifyReader = resolve));

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart(newController) {
      // A request that has failed or was written before must not be written.
      if (failure || isWritten) throw failure ?? new Error("Request would be sent twice");
      options.beforeSend?.();
      controller = newController;
      isWritten = true;
      lastReadMs = clock.nowMs();
    },
    onResponseStart(_controller, status, headers) {
      lastReadMs = clock.nowMs();
      if (status < 200) return;
      head = { status, headers };
      notifyReader();
    },
    onResponseData(_controller, chunk) {
      lastReadMs = clock.nowMs();
      queue.push(chunk);
      queuedBytes += chunk.length;
      if (queuedBytes > MAX_QUEUED_BYTES) controller?.pause();
      notifyReader();
    },
    onResponseEnd() {
      isEnded = true;
      settle();
    },
    onResponseError(_controller, err) {
      const [code, message] = classify(err, isWritten);
      failWith(code, message, err);
    },
  };
  if (signal?.aborted) {
    onAbort();
  } else {
    signal?.addEventListener("abort", onAbort, { once: true });
    checkTimeouts();
    dispatcher.dispatch(
      { path: req.path, method: req.method, headers: req.headers ?? {}, body: req.body ?? null },
      handler,
    );
  }

  return {
    async head() {
      while (!head) {
        if (failure) throw failure;
        await waitForChange();
      }
      return head;
    },
    async read() {
      while (true) {
        const chunk = queue.shift();
        if (chunk) {
          queuedBytes -= chunk.length;
          if (controller?.paused && queuedBytes <= MAX_QUEUED_BYTES / 2) {
            lastReadMs = clock.nowMs();
            controller.resume();
          }
          return chunk;
        }
        if (isEnded) return undefined;
        if (failure) throw failure;
        await waitForChange();
      }
    },
    isWritten: () => isWritten,
    isOver: () => isEnded || failure !== undefined,
    fail,
  };
}

/** Maps an error of the HTTP client to an error code and a message. */
function classify(err: Error, isWritten: boolean): [EngineErrorCode, string] {
  const code = (err as NodeJS.ErrnoException).code ?? "";
  if (!isWritten) {
    if (code === "UND_ERR_CONNECT_TIMEOUT" || code === "ETIMEDOUT") {
      return ["silent", "Connection not established in time"];
    }
    if (/^E[A-Z]+$/.test(code)) return ["refused", `Connection failed: "${code}"`];
    return ["aborted", "Request not sent"];
  }
  if (code.startsWith("HPE_")) return ["protocol", `Malformed answer: "${code}"`];
  return ["died", `Connection broke: "${code || err.message}"`];
}
