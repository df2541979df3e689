import { request } from "node:http";
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { Millis } from "@jaypass/kernel";
import type { HeaderList } from "./types.ts";

/** Methods whose requests usually have no body. */
const METHODS_WITHOUT_BODY = new Set(["GET", "HEAD", "DELETE", "OPTIONS"]);

/** How far an exchange with a server came before it failed. */
export const EXCHANGE_FAILURE = {
  /** No connection; nothing was sent. */
  NOT_CONNECTED: "not_connected",
  /** The connection broke off after bytes were sent. */
  BROKEN: "broken",
  /** The owner gave the exchange up. */
  CANCELLED: "cancelled",
} as const;

/** One of {@linkcode EXCHANGE_FAILURE}. */
export type ExchangeFailure = typeof EXCHANGE_FAILURE[keyof typeof EXCHANGE_FAILURE];

/** An exchange with a server failed. */
export class ExchangeError extends Error {
  override name = "ExchangeError";
  /** How far it came. */
  readonly failure: ExchangeFailure;

  constructor(failure: ExchangeFailure, options: { cause?: unknown } = {}) {
    super(`Exchange with server failed: ${failure}`, options);
    this.failure = failure;
  }
}

/** What is sent to a server. */
export interface ServerRequest {
  /** IP address and port of the server. */
  address: string;
  /** Method, as the caller sent it. */
  method: string;
  /** Request target, as the caller sent it. */
  target: string;
  /** Header fields in order. */
  headers: HeaderList;
  /** Whole body. */
  body: Buffer;
}

/** The head of a server's answer, and its body still to be read. */
export interface ServerAnswer {
  /** Status code. */
  status: number;
  /** Reason phrase. */
  statusText: string;
  /** Header fields in order. */
  headers: HeaderList;
  /** Body chunks; iteration throws an {@linkcode ExchangeError} when the body breaks off. */
  body: AsyncIterable<Buffer>;
}

/** A request that is under way at a server. */
export interface Exchange {
  /** Settles with the head of the answer. */
  answer: Promise<ServerAnswer>;
  /** Closes the connection, which cancels the request at the server. */
  cancel(): void;
}

/**
 * Sends a request to a server on a connection of its own.
 *
 * A connection is used once: bytes after an answer, answers that come late and connections that
 * have gone silent then cannot reach another request. The cost is one handshake a request.
 *
 * @param serverRequest what to send and where
 * @param options bound on the time to connect
 * @returns the exchange; its answer fails with an {@linkcode ExchangeError}
 *
 * @example
 * const exchange = openExchange(serverRequest, { connectTimeoutMs: 400 });
 * const answer = await exchange.answer;
 */
export function openExchange(
  serverRequest: ServerRequest,
  options: { connectTimeoutMs: Millis },
): Exchange {
  const separator = serverRequest.address.lastIndexOf(":");
  let isConnected = false;
  let isCancelled = false;
  let bodyError: Error | undefined;
  let ending: Promise<Error | undefined> = Promise.resolve(undefined);
  let answered: IncomingMessage | undefined;
  const failureOf = (err: unknown) => {
    if (isCancelled) return new ExchangeError(EXCHANGE_FAILURE.CANCELLED, { cause: err });
    const failure = isConnected ? EXCHANGE_FAILURE.BROKEN : EXCHANGE_FAILURE.NOT_CONNECTED;
    return new ExchangeError(failure, { cause: err });
  };

  const req: ClientRequest = request({
    host: serverRequest.address.slice(0, separator),
    port: Number(serverRequest.address.slice(separator + 1)),
    method: serverRequest.method,
    path: serverRequest.target,
    headers: withLength(serverRequest),
    agent: false,
    setHost: false,
  });
  const connectTimer = setTimeout(
    () => req.destroy(new Error("Connection timed out")),
    options.connectTimeoutMs,
  );
  const answer = new Promise<ServerAnswer>((resolve, reject) => {
    req.once("socket", (socket) => {
      socket.once("connect", () => {
        isConnected = true;
        clearTimeout(connectTimer);
      });
      socket.prependOnceListener("end", () => {
        if (answered !== undefined && isUnframed(answered)) ending = findReset(socket);
      });
    });
    req.on("error", (err) => {
      clearTimeout(connectTimer);
      // Node.js ends a body without a length as if it were whole, also after a reset.
      if (answered?.complete === false) bodyError = err;
      reject(failureOf(err));
    });
    req.once("response", (res: IncomingMessage) => {
      // A late socket error is reported by the body's iteration, or concerns bytes after its end.
      res.on("error", () => {});
      answered = res;
      resolve({
        status: res.statusCode ?? 0,
        statusText: res.statusMessage ?? "",
        headers: res.rawHeaders,
        body: readAnswerBody(res, { failureOf, findError: async () => bodyError ?? await ending }),
      });
    });
  });
  // The owner may cancel before it waits for the answer.
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

/** States the length of the body, also of an empty one where the method usually has one. */
function withLength({ method, headers, body }: ServerRequest): HeaderList {
  const hasBody = body.length > 0 || !METHODS_WITHOUT_BODY.has(method);
  return hasBody ? [...headers, "Content-Length", String(body.length)] : headers;
}

/** True for a body that ends with its connection. */
function isUnframed(res: IncomingMessage): boolean {
  const { headers } = res;
  return headers["content-length"] === undefined && headers["transfer-encoding"] === undefined;
}

/**
 * Finds out whether an ended connection was reset. Node.js reports a reset that comes together with
 * the last bytes as a plain end, but a write to such a connection fails at once. The empty line is
 * no request, and a server that closed its side does not read it.
 */
function findReset(socket: Socket): Promise<Error | undefined> {
  return new Promise((resolve) => {
    socket.write("\r\n", (err) => resolve(err ?? undefined));
  });
}

async function* readAnswerBody(
  res: IncomingMessage,
  { failureOf, findError }: {
    failureOf: (err: unknown) => ExchangeError;
    findError: () => Promise<Error | undefined>;
  },
): AsyncGenerator<Buffer> {
  try {
    for await (const chunk of res as AsyncIterable<Buffer>) yield chunk;
  } catch (err) {
    throw failureOf(err);
  }
  const err = await findError();
  if (err !== undefined) throw failureOf(err);
  if (!res.complete) throw failureOf(new Error("Answer ended before its length"));
}
