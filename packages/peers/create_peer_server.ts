import {
  Server,
  type ServerUnaryCall,
  type ServerWritableStream,
  type UntypedHandleCall,
} from "@grpc/grpc-js";
import { once } from "node:events";
import type { Logger, Metrics, Millis } from "@jaypass/kernel";
import { KEEPALIVE_TIMEOUT_MS, MAX_MESSAGE_BYTES, SERVER_KEEPALIVE_TIME_MS } from "./constants.ts";
import { getCallOverhead } from "./_lib/get_call_overhead.ts";
import { createTraffic } from "./_lib/create_traffic.ts";
import { decodeMessage, encodeMessage, passBytes } from "./_lib/codec.ts";
import { PEER_FAILURE, PeerError, PeerRefusal } from "./errors.ts";
import { serverCredentials } from "./_lib/credentials.ts";
import { toStatus } from "./_lib/trailers.ts";
import type { PeerContext, PeerMethod, PeerServer, PeerTls } from "./types.ts";

/** Options of {@linkcode createPeerServer}. */
export interface PeerServerOptions {
  /** Address to listen on, `ip:port`; port 0 picks a free one. */
  listen: string;
  tls: PeerTls;
  log: Logger;
  metrics: Metrics;
}

type AnyCall = ServerUnaryCall<Buffer, Buffer> | ServerWritableStream<Buffer, Buffer>;

/** Maximum delay of a Node.js timer. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Creates the signal and the remaining time of a call; `end` releases the timer. */
function openContext(call: AnyCall): { context: PeerContext; end: () => void } {
  const controller = new AbortController();
  const deadline = call.getDeadline();
  const remainingMs: Millis = Math.max(0, Number(deadline) - Date.now());
  const abort = (reason: string) => controller.abort(new Error(reason));
  const timer = remainingMs < MAX_TIMER_MS
    ? setTimeout(() => abort("Deadline passed"), remainingMs)
    : undefined;
  call.on("cancelled", () => abort("Call cancelled"));
  return {
    context: { signal: controller.signal, remainingMs },
    end: () => clearTimeout(timer),
  };
}

/** Decodes and validates a request before the handler starts. */
function readRequest<Req>(method: PeerMethod<Req, unknown>, body: Buffer): Req {
  try {
    return decodeMessage(method.req, body);
  } catch (err) {
    throw new PeerError(`Request does not match the schema: ${(err as Error).message}`, {
      ran: "not_run",
      reason: PEER_FAILURE.BAD_REQUEST,
      cause: err,
    });
  }
}

/**
 * Creates the server for calls from other hosts.
 *
 * @param options address, keys, log and metrics
 * @returns the server, which accepts connections after `listen`
 *
 * @example
 * const server = createPeerServer({ listen: "10.0.0.4:7400", tls, log, metrics });
 * server.handle(probe, async () => ({ host: "h1" }));
 * await server.listen();
 */
export function createPeerServer(options: PeerServerOptions): PeerServer {
  const { log, metrics } = options;
  const traffic = createTraffic();
  const overhead = getCallOverhead(options.tls);
  const server = new Server({
    "grpc.keepalive_time_ms": SERVER_KEEPALIVE_TIME_MS,
    "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
    "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
  });

  const countRequest = (path: string, body: Buffer) => {
    traffic.received(path, body.length + overhead.requestBytes);
    traffic.sent(path, overhead.responseBytes);
  };
  const countResponse = (path: string, body: Buffer) =>
    traffic.sent(path, body.length + overhead.messageBytes);
  const failed = (path: string, err: unknown, context: PeerContext) => {
    if (err instanceof PeerRefusal) {
      metrics.increment("peer_refusal", { path, code: err.code });
    } else if (!context.signal.aborted) {
      metrics.increment("peer_handler_failed", { path });
      log.warn({ err, path }, "Handler of peer call failed");
    }
    return toStatus(err);
  };

  const register = (path: string, type: "unary" | "serverStream", handler: UntypedHandleCall) => {
    if (!server.register(path, handler, passBytes, passBytes, type)) {
      throw new Error(`Method "${path}" already has a handler`);
    }
  };

  return {
    handle(method, handler) {
      register(
        method.path,
        "unary",
        (async (
          call: ServerUnaryCall<Buffer, Buffer>,
          callback: (err: unknown, body?: Buffer) => void,
        ) => {
          const { context, end } = openContext(call);
          countRequest(method.path, call.request);
          try {
            const res = encodeMessage(await handler(readRequest(method, call.request), context));
            countResponse(method.path, res);
            callback(null, res);
          } catch (err) {
            callback(failed(method.path, err, context));
          } finally {
            end();
          }
        }) as UntypedHandleCall,
      );
    },

    handleStream(method, handler) {
      register(
        method.path,
        "serverStream",
        (async (call: ServerWritableStream<Buffer, Buffer>) => {
          const { context, end } = openContext(call);
          countRequest(method.path, call.request);
          try {
            for await (const message of handler(readRequest(method, call.request), context)) {
              if (context.signal.aborted) break;
              const body = encodeMessage(message);
              countResponse(method.path, body);
              if (!call.write(body)) await once(call, "drain", { signal: context.signal });
            }
            call.end();
          } catch (err) {
            call.emit("error", failed(method.path, err, context));
          } finally {
            end();
          }
        }) as UntypedHandleCall,
      );
    },

    listen: () =>
      new Promise((resolve, reject) => {
        const ip = options.listen.slice(0, options.listen.lastIndexOf(":"));
        server.bindAsync(options.listen, serverCredentials(options.tls), (err, port) => {
          if (err) reject(new Error(`Cannot listen on "${options.listen}"`, { cause: err }));
          else resolve(`${ip}:${port}`);
        });
      }),

    traffic: traffic.totals,

    stop: (graceMs) =>
      new Promise((resolve) => {
        const timer = setTimeout(() => server.forceShutdown(), graceMs);
        server.tryShutdown(() => {
          clearTimeout(timer);
          resolve();
        });
      }),
  };
}
