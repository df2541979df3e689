import type { CallOptions, ServiceError } from "@grpc/grpc-js";
import { AbortedError, type Clock, createDeadline, type Metrics } from "@jaypass/kernel";
import { getCallOverhead } from "./_lib/get_call_overhead.ts";
import { type Connection, createConnection } from "./_lib/create_connection.ts";
import { createTraffic } from "./_lib/create_traffic.ts";
import { decodeMessage, encodeMessage, passBytes } from "./_lib/codec.ts";
import { fromStatus } from "./_lib/trailers.ts";
import { PEER_FAILURE, PeerError, PeerRefusal } from "./errors.ts";
import type { PeerCallOptions, PeerMethod, PeerPool, PeerTls } from "./types.ts";
import type { Millis } from "@jaypass/kernel";

/** Options of {@linkcode createPeerPool}. */
export interface PeerPoolOptions {
  tls: PeerTls;
  clock: Clock;
  metrics: Metrics;
  /** Time without calls after which a connection is closed; 30 s by default. */
  idleCloseMs?: Millis;
}

/** Maximum delay of a Node.js timer; for longer timeouts no gRPC deadline is set. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Waits for a promise; rejects when the signal aborts first. */
function untilAborted(promise: Promise<void>, signal: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    const onAbort = () => reject(new AbortedError("Wait aborted", { cause: signal.reason }));
    if (signal.aborted) onAbort();
    signal.addEventListener("abort", onAbort, { once: true });
    promise.then(resolve, reject).finally(() => signal.removeEventListener("abort", onAbort));
  });
}

/**
 * Creates a pool with one connection per host address, opened on first use.
 *
 * A call is executed at most once: the gRPC library resends a request only if the receiver proved
 * that it did not process it.
 *
 * @param options keys, clock and metrics
 * @returns the pool
 *
 * @example
 * const pool = createPeerPool({ tls, clock, metrics });
 * const res = await pool.call("10.0.0.5:7400", probe, {}, { timeoutMs: 900 });
 */
export function createPeerPool(options: PeerPoolOptions): PeerPool {
  const { clock, metrics } = options;
  const traffic = createTraffic();
  const overhead = getCallOverhead(options.tls);
  const connections = new Map<string, Connection>();
  const running = new Set<AbortController>();
  let closed = false;

  const connectionTo = (address: string): Connection => {
    let found = connections.get(address);
    if (found === undefined) {
      const created = createConnection(address, {
        tls: options.tls,
        idleCloseMs: options.idleCloseMs,
        onClosed: () => {
          if (connections.get(address) === created) connections.delete(address);
        },
      });
      connections.set(address, found = created);
    }
    return found;
  };

  const count = <E extends PeerError | PeerRefusal>(err: E, path: string): E => {
    if (err instanceof PeerError) {
      metrics.increment("peer_call_failed", { path, reason: err.reason, ran: err.ran });
    }
    return err;
  };

  /** Waits for the connection and starts the deadline. Nothing has been sent when this fails. */
  const open = async (address: string, path: string, callOptions: PeerCallOptions) => {
    const notRun = (reason: PeerError["reason"], cause?: unknown) =>
      count(
        new PeerError(`"${path}" was not sent to "${address}"`, { ran: "not_run", reason, cause }),
        path,
      );
    const { signal, timeoutMs } = callOptions;
    if (closed) throw notRun(PEER_FAILURE.POOL_CLOSED);
    if (signal?.aborted) throw notRun(PEER_FAILURE.CANCELLED);
    if (timeoutMs <= 0) throw notRun(PEER_FAILURE.TIMEOUT);
    // AbortSignal.any would leave an entry in a long-lived signal for each call.
    const parent = new AbortController();
    const abort = () => parent.abort(signal?.reason);
    signal?.addEventListener("abort", abort, { once: true });
    running.add(parent);
    const deadline = createDeadline(Math.min(timeoutMs, MAX_TIMER_MS), {
      clock,
      parent: parent.signal,
    });
    const connection = connectionTo(address);
    const endUse = connection.beginCall();
    const end = () => {
      deadline.clear();
      running.delete(parent);
      signal?.removeEventListener("abort", abort);
      endUse();
    };
    try {
      await untilAborted(connection.ready(), deadline.signal);
      if (deadline.signal.aborted) throw new AbortedError("Call ended before it was sent");
    } catch (err) {
      end();
      if (!(err instanceof AbortedError)) throw notRun(PEER_FAILURE.CONNECT_FAILED, err);
      if (closed) throw notRun(PEER_FAILURE.POOL_CLOSED, err);
      if (signal?.aborted) throw notRun(PEER_FAILURE.CANCELLED, err);
      throw notRun(PEER_FAILURE.TIMEOUT, err);
    }
    const grpcOptions: CallOptions = timeoutMs > MAX_TIMER_MS
      ? {}
      : { deadline: Date.now() + deadline.remainingMs() };
    return { client: connection.client, deadline, grpcOptions, end };
  };

  const readResponse = <Req, Res>(method: PeerMethod<Req, Res>, body: Buffer): Res => {
    traffic.received(method.path, body.length + overhead.messageBytes);
    try {
      return decodeMessage(method.res, body);
    } catch (err) {
      throw new PeerError(`Response of "${method.path}" does not match the schema`, {
        ran: "unknown",
        reason: PEER_FAILURE.BAD_RESPONSE,
        cause: err,
      });
    }
  };

  const countRequest = (path: string, body: Buffer) => {
    traffic.sent(path, body.length + overhead.requestBytes);
    traffic.received(path, overhead.responseBytes);
  };

  return {
    async call(address, method, req, callOptions) {
      const { client, deadline, grpcOptions, end } = await open(address, method.path, callOptions);
      const body = encodeMessage(req);
      let cancel = () => {};
      try {
        const res = await new Promise<Buffer>((resolve, reject) => {
          const call = client.makeUnaryRequest<Buffer, Buffer>(
            method.path,
            passBytes,
            passBytes,
            body,
            grpcOptions,
            (err, value) => err ? reject(fromStatus(err, method.path)) : resolve(value!),
          );
          cancel = () => call.cancel();
          countRequest(method.path, body);
          deadline.signal.addEventListener("abort", cancel, { once: true });
        });
        return readResponse(method, res);
      } catch (err) {
        throw count(toCallerError(err, deadline.isExpired()), method.path);
      } finally {
        deadline.signal.removeEventListener("abort", cancel);
        end();
      }
    },

    async *stream(address, method, req, callOptions) {
      const { client, deadline, grpcOptions, end } = await open(address, method.path, callOptions);
      const body = encodeMessage(req);
      const call = client.makeServerStreamRequest<Buffer, Buffer>(
        method.path,
        passBytes,
        passBytes,
        body,
        grpcOptions,
      );
      // An error after the consumer has stopped reading must not end the process.
      call.on("error", () => {});
      const cancel = () => call.cancel();
      deadline.signal.addEventListener("abort", cancel, { once: true });
      countRequest(method.path, body);
      try {
        for await (const message of call) yield readResponse(method, message as Buffer);
      } catch (err) {
        const known = err instanceof PeerError ? err : fromStatus(err as ServiceError, method.path);
        throw count(toCallerError(known, deadline.isExpired()), method.path);
      } finally {
        deadline.signal.removeEventListener("abort", cancel);
        call.cancel();
        end();
      }
    },

    traffic: traffic.totals,

    close() {
      closed = true;
      for (const parent of running) parent.abort(new Error("Pool closed"));
      for (const connection of [...connections.values()]) connection.close();
      return Promise.resolve();
    },
  };
}

/**
 * Reports a cancellation by the expired deadline as a timeout. The deadline of the caller and that
 * of the gRPC library may pass in either order, and the former cancels the call.
 */
function toCallerError(err: unknown, isExpired: boolean): PeerError | PeerRefusal {
  if (err instanceof PeerError && err.reason === PEER_FAILURE.CANCELLED && isExpired) {
    const { message, ran, cause } = err;
    return new PeerError(message, { ran, reason: PEER_FAILURE.TIMEOUT, cause });
  }
  return err as PeerError | PeerRefusal;
}
