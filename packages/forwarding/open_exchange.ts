import { request, STATUS_CODES } from "node:http";
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { runAfterRead } from "@jaypass/kernel";
import type { Millis } from "@jaypass/kernel";
import { checkAnswerEnd } from "./check_answer_end.ts";
import { MAX_FRAMING_BYTES, MAX_INFORMATIONAL_ANSWERS, MAX_REQUEST_REST_MS } from "./constants.ts";
import { endsWithConnection } from "./ends_with_connection.ts";
import type { HeaderList } from "./types.ts";

/** Codes of the errors that Node.js throws for a method, target or header that HTTP does not allow. */
const INVALID_REQUEST_CODES = new Set<string | undefined>([
  "ERR_INVALID_HTTP_TOKEN",
  "ERR_UNESCAPED_CHARACTERS",
  "ERR_INVALID_CHAR",
  "ERR_HTTP_INVALID_HEADER_VALUE",
]);

/** Lowest status of an answer that ends a request; lower ones are informational or not valid. */
const MIN_FINAL_STATUS = 200;

/** Highest status that HTTP defines (RFC 9110, section 15); callers cannot interpret a higher one. */
const MAX_FINAL_STATUS = 599;

/** Reason phrases that HTTP allows. The parser of Node.js accepts others, but its server rejects them. */
const REASON_PHRASE = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Methods whose requests usually have no body; an empty one then needs no `Content-Length`. */
const METHODS_WITHOUT_BODY = new Set(["GET", "HEAD", "DELETE", "OPTIONS"]);

/** How an exchange with a server failed. */
export const EXCHANGE_FAILURE = {
  /** No connection was established, so nothing was sent. */
  NOT_CONNECTED: "not_connected",
  /** The request has bytes that HTTP does not allow, so nothing was sent to this or any server. */
  INVALID_REQUEST: "invalid_request",
  /** The connection broke after it was established, so the request may have been sent. */
  BROKEN: "broken",
  /** The exchange was cancelled with {@linkcode Exchange.cancel}. */
  CANCELLED: "cancelled",
} as const;

/** One of {@linkcode EXCHANGE_FAILURE}. */
export type ExchangeFailure = typeof EXCHANGE_FAILURE[keyof typeof EXCHANGE_FAILURE];

/** An exchange with a server failed. */
export class ExchangeError extends Error {
  override name = "ExchangeError";
  /** Kind of the failure. */
  readonly failure: ExchangeFailure;

  constructor(failure: ExchangeFailure, options: { cause?: unknown } = {}) {
    super(`Exchange with server failed: ${failure}`, options);
    this.failure = failure;
  }
}

/** A request to a server. */
export interface ServerRequest {
  /** IP address and port of the server. */
  address: string;
  /** HTTP method, as the caller sent it. */
  method: string;
  /** Request target, as the caller sent it. */
  target: string;
  /** Header fields in order. */
  headers: HeaderList;
  /** Complete body. */
  body: Buffer;
}

/** The head of a server's answer, with its body as a stream. */
export interface ServerAnswer {
  /** Status code. */
  status: number;
  /** Reason phrase; the usual one of the status if the server's own has bytes that HTTP does not allow. */
  statusText: string;
  /** Header fields in order. */
  headers: HeaderList;
  /** True if only the end of the connection ends the body. */
  endsWithConnection: boolean;
  /** Body chunks; iteration throws an {@linkcode ExchangeError} if the body is truncated. */
  body: AsyncIterable<Buffer>;
}

/** A request in progress at a server. */
export interface Exchange {
  /** Resolves with the head of the answer. */
  answer: Promise<ServerAnswer>;
  /** Closes the connection, which cancels the request at the server. */
  cancel(): void;
}

/** Options of {@linkcode openExchange}. */
export interface ExchangeOptions {
  /** Time limit of the connect, in milliseconds. */
  connectTimeoutMs: Millis;
  /** Called for each part of the answer that was read: its head, pieces of its body, its end. */
  onReceived?: () => void;
}

/**
 * Sends a request to a server on a new connection.
 *
 * A connection is used for one request only, so that extra bytes after an answer, late answers and
 * unresponsive connections cannot affect another request. The cost is one handshake per request.
 *
 * @param serverRequest the request and the address of the server
 * @param options time limit of the connect, and progress of the answer
 * @returns the exchange; its answer rejects with an {@linkcode ExchangeError}, also if the address or
 * the request is not valid
 *
 * @example
 * const exchange = openExchange(serverRequest, { connectTimeoutMs: 400 });
 * const answer = await exchange.answer;
 */
export function openExchange(
  serverRequest: ServerRequest,
  options: ExchangeOptions,
): Exchange {
  const { connectTimeoutMs, onReceived = () => {} } = options;
  const separator = serverRequest.address.lastIndexOf(":");
  let isConnected = false;
  let isCancelled = false;
  let bodyError: Error | undefined;
  let resetCheck: Promise<Error | undefined> = Promise.resolve(undefined);
  let response: IncomingMessage | undefined;
  const createExchangeError = (err: unknown) => {
    if (isCancelled) return new ExchangeError(EXCHANGE_FAILURE.CANCELLED, { cause: err });
    const failure = isConnected ? EXCHANGE_FAILURE.BROKEN : EXCHANGE_FAILURE.NOT_CONNECTED;
    return new ExchangeError(failure, { cause: err });
  };

  let req: ClientRequest;
  try {
    req = request({
      host: serverRequest.address.slice(0, separator),
      port: Number(serverRequest.address.slice(separator + 1)),
      method: serverRequest.method,
      path: serverRequest.target,
      headers: addContentLength(serverRequest),
      agent: false,
      setHost: false,
    });
  } catch (err) {
    return createFailedExchange(err);
  }
  const onConnectTimeout = () => {
    if (!isConnected) req.destroy(new Error("Connection timed out"));
  };
  const connectTimer = setTimeout(() => runAfterRead(onConnectTimeout), connectTimeoutMs);
  const answer = new Promise<ServerAnswer>((resolve, reject) => {
    req.once("socket", (socket) => {
      socket.once("connect", () => {
        isConnected = true;
        clearTimeout(connectTimer);
      });
      socket.prependOnceListener("end", onReceived);
    });
    req.on("error", (err) => {
      clearTimeout(connectTimer);
      // Node.js ends a body without a stated length normally even after a connection reset.
      if (response?.complete === false) bodyError = err;
      reject(createExchangeError(err));
    });
    let informationalCount = 0;
    req.on("information", () => {
      informationalCount += 1;
      if (informationalCount > MAX_INFORMATIONAL_ANSWERS) {
        req.destroy(new Error("Too many informational answers"));
      }
    });
    // Node.js reports neither an error nor a response for an answer that switches the protocol.
    req.once("close", () => {
      clearTimeout(connectTimer);
      reject(createExchangeError(new Error("Connection was closed without an answer")));
    });
    req.once("response", (res: IncomingMessage) => {
      const { statusCode: status = 0 } = res;
      if (status < MIN_FINAL_STATUS || status > MAX_FINAL_STATUS) {
        req.destroy(new Error(`Answer has status ${status}, which ends no request`));
        return;
      }
      // A later socket error is thrown by the body's iteration, or concerns bytes after its end.
      res.on("error", () => {});
      response = res;
      onReceived();
      const isEndedByConnection = endsWithConnection(serverRequest.method, res);
      if (isEndedByConnection) {
        runBeforeEnd(res.socket, () => {
          const isRequestWritten = req.writableFinished;
          const limitMs = MAX_REQUEST_REST_MS;
          resetCheck = checkAnswerEnd(res.socket, { isRequestWritten, limitMs });
          return isRequestWritten ? undefined : resetCheck;
        });
      }
      resolve({
        status,
        statusText: chooseReasonPhrase(status, res.statusMessage),
        headers: res.rawHeaders,
        endsWithConnection: isEndedByConnection,
        body: readAnswerBody(res, {
          createExchangeError,
          onReceived,
          countReceived: () => req.socket?.bytesRead ?? 0,
          findBodyError: async () => bodyError ?? await resetCheck,
        }),
      });
    });
  });
  // Avoids an unhandled rejection if the exchange is cancelled before the answer is awaited.
  answer.catch(() => {});
  req.end(serverRequest.body);
  return {
    answer,
    cancel() {
      isCancelled = true;
      clearTimeout(connectTimer);
      req.destroy(new Error("Exchange cancelled"));
    },
  };
}

/**
 * Runs a check before the `end` listeners that a socket has so far. If the check is asynchronous, they
 * are called after it, unless it fails: the HTTP client of Node.js destroys a connection in its listener,
 * also while the request is being written. With an error of the check the socket is destroyed.
 */
function runBeforeEnd(socket: Socket, check: () => Promise<Error | undefined> | undefined): void {
  const listeners = socket.rawListeners("end");
  socket.removeAllListeners("end");
  const notifyEnd = () => {
    for (const listener of listeners) listener.call(socket);
  };
  socket.once("end", () => {
    const checking = check();
    if (checking === undefined) return notifyEnd();
    void checking.then((err) => err === undefined ? notifyEnd() : socket.destroy(err));
  });
}

/** Creates the exchange of a request that Node.js refused before it opened a connection. */
function createFailedExchange(err: unknown): Exchange {
  const isInvalid = INVALID_REQUEST_CODES.has((err as NodeJS.ErrnoException).code);
  const failure = isInvalid ? EXCHANGE_FAILURE.INVALID_REQUEST : EXCHANGE_FAILURE.NOT_CONNECTED;
  const answer = Promise.reject<ServerAnswer>(new ExchangeError(failure, { cause: err }));
  answer.catch(() => {});
  return { answer, cancel: () => {} };
}

function chooseReasonPhrase(status: number, phrase = ""): string {
  return REASON_PHRASE.test(phrase) ? phrase : STATUS_CODES[status] ?? "";
}

/** Adds `Content-Length`, also for an empty body if the method usually has a body. */
function addContentLength({ method, headers, body }: ServerRequest): HeaderList {
  const hasBody = body.length > 0 || !METHODS_WITHOUT_BODY.has(method);
  return hasBody ? [...headers, "Content-Length", String(body.length)] : headers;
}

async function* readAnswerBody(
  res: IncomingMessage,
  { createExchangeError, onReceived, countReceived, findBodyError }: {
    createExchangeError: (err: unknown) => ExchangeError;
    onReceived: () => void;
    countReceived: () => number;
    findBodyError: () => Promise<Error | undefined>;
  },
): AsyncGenerator<Buffer> {
  let bodyBytes = 0;
  try {
    for await (const chunk of res as AsyncIterable<Buffer>) {
      onReceived();
      bodyBytes += chunk.length;
      if (countReceived() - bodyBytes > MAX_FRAMING_BYTES + bodyBytes) {
        throw new Error("Answer body is sent in too many chunks");
      }
      yield chunk;
    }
  } catch (err) {
    throw createExchangeError(err);
  }
  const err = await findBodyError();
  if (err !== undefined) throw createExchangeError(err);
  if (!res.complete) throw createExchangeError(new Error("Answer body is truncated"));
}
