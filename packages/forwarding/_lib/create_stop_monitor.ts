import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock, Logger, Metrics, Millis } from "@jaypass/kernel";
import { CLOSE_REASON } from "../types.ts";
import type { HeaderCodec } from "../types.ts";
import type { AttemptState } from "./attempt.ts";
import { breakOff } from "./break_off.ts";
import type { ConnectionCloser } from "./create_connection_closer.ts";
import type { StopTime } from "./request_context.ts";
import type { StopNeed } from "./stop_limit.ts";

/** A request in progress. */
export interface MonitoredRequest {
  /** Request as received. */
  req: IncomingMessage;
  /** Answer to the caller. */
  res: ServerResponse;
  /** Monotonic time at which the headers had arrived. */
  arrivalMs: Millis;
  /** True if the caller had sent another request on the same connection before. */
  isOnKeptConnection: boolean;
  /** Name of the route; undefined until the route is known. */
  route: string | undefined;
  /** State of the attempts; undefined until the first one. */
  attempts: Readonly<AttemptState> | undefined;
  /** Times that the host has counted with when it took the request in a stop. */
  need?: StopNeed;
}

/** Logs and counts the requests of a stopping host. */
export interface StopMonitor {
  /** Registers a request that arrives. */
  add(req: IncomingMessage, res: ServerResponse): MonitoredRequest;
  /**
   * Records that a request is accepted on a route.
   *
   * @param need times of its answer that the stopping host has counted with; undefined without a stop, or
   * if only its deadline bounds it
   */
  accepted(request: MonitoredRequest, route: string, need: StopNeed | undefined): void;
  /** Records that a request is refused because the host is stopping. */
  refused(): void;
  /** Records that a request that may have run is answered with a failure because of the stop. */
  failed(): void;
  /** Unregisters a request that has ended. */
  remove(request: MonitoredRequest): void;
  /** Log fields that place a request in the stop; empty before the stop. */
  describe(request: MonitoredRequest): { sinceSignalMs?: Millis; isOnKeptConnection?: boolean };
  /**
   * Logs each request in progress, whose answer goes on after the exit and may be cut off without a line.
   * Answers in HTTP/1.0 are cut off at once, since a forced end would make them look complete.
   */
  continueAfterExit(): void;
  /** Logs each request in progress as cut off and closes its connection, for a host that exits now. */
  cutOff(): void;
}

/**
 * Creates the monitor of a host's requests, which writes nothing before the host is stopping.
 *
 * @param options clock, progress of the stop, log, metrics, the codec of headers and the closer of
 * callers' connections
 * @returns the monitor
 */
export function createStopMonitor(options: {
  clock: Clock;
  stopTime: () => StopTime | undefined;
  log: Logger;
  metrics: Metrics;
  codec: HeaderCodec;
  closer: ConnectionCloser;
}): StopMonitor {
  const { clock, stopTime, log, metrics, codec, closer } = options;
  const inProgress = new Set<MonitoredRequest>();
  const usedSockets = new WeakSet<Socket>();
  const count = (result: "taken" | "refused" | "failed" | "cut") =>
    metrics.increment("stop_request", { result });
  const readId = ({ req }: MonitoredRequest) => codec.readCaller(req.rawHeaders).attemptId;

  const describeInProgress = (request: MonitoredRequest, { elapsedMs }: StopTime) => {
    const ageMs = clock.nowMs() - request.arrivalMs;
    return {
      requestId: readId(request),
      route: request.route,
      ageMs: Math.round(ageMs),
      // Negative for a request that arrived before the signal.
      sinceSignalMs: Math.round(elapsedMs - ageMs),
      isOnKeptConnection: request.isOnKeptConnection,
      isPassedOn: (request.attempts?.sendCount ?? 0) > 0,
      hasBegun: request.res.headersSent,
      ...request.need,
      runs: request.attempts?.traces.map((trace) => trace.describe()) ?? [],
    };
  };
  const cut = (request: MonitoredRequest, time: StopTime) => {
    log.warn(describeInProgress(request, time), "Request cut off by the exit of the host");
    count("cut");
    breakOff(closer, request.res, CLOSE_REASON.EXIT);
  };
  const listUnfinished = () => [...inProgress].filter(({ res }) => !res.writableFinished);

  return {
    add(req, res) {
      const request: MonitoredRequest = {
        req,
        res,
        arrivalMs: clock.nowMs(),
        isOnKeptConnection: usedSockets.has(req.socket),
        route: undefined,
        attempts: undefined,
      };
      usedSockets.add(req.socket);
      inProgress.add(request);
      return request;
    },
    accepted(request, route, need) {
      request.route = route;
      if (need !== undefined) {
        const { expectedAnswerMs, neededMs } = need;
        request.need = {
          expectedAnswerMs: Math.round(expectedAnswerMs),
          neededMs: Math.round(neededMs),
        };
      }
      const time = stopTime();
      if (time === undefined) return;
      log.info({
        requestId: readId(request),
        route,
        sinceSignalMs: Math.round(time.elapsedMs),
        remainingMs: Math.round(time.remainingMs),
        ...request.need,
        isOnKeptConnection: request.isOnKeptConnection,
      }, "Request taken by a stopping host");
      count("taken");
    },
    refused: () => count("refused"),
    failed: () => count("failed"),
    remove: (request) => void inProgress.delete(request),
    describe(request) {
      const time = stopTime();
      if (time === undefined) return {};
      const { isOnKeptConnection } = request;
      return { sinceSignalMs: Math.round(time.elapsedMs), isOnKeptConnection };
    },
    continueAfterExit() {
      const time = stopTime();
      if (time === undefined) return;
      for (const request of listUnfinished()) {
        if (request.req.httpVersion === "1.0") {
          cut(request, time);
          continue;
        }
        const fields = describeInProgress(request, time);
        // A warning is not dropped, and the forced end leaves no other line.
        log.warn(fields, "Answer goes on after the exit of the host");
      }
    },
    cutOff() {
      const time = stopTime();
      if (time === undefined) return;
      for (const request of listUnfinished()) cut(request, time);
    },
  };
}
