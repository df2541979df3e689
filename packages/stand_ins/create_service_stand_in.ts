import type { IncomingMessage, ServerResponse } from "node:http";
import { createServiceCore, type ServiceCall } from "./_lib/create_service_core.ts";
import {
  createSilentConnections,
  readBody,
  type RestartableServer,
  sendJson,
  startServer,
} from "./_lib/http_helpers.ts";
import {
  SERVICE_FAULTS,
  SERVICE_STAND_IN_OPTIONS,
  type ServiceFaults,
  type ServiceLog,
  type ServiceStandInOptions,
} from "./service_types.ts";

/** A running plain-service stand-in. */
export interface ServiceStandIn {
  url: string;
  port: number;
  /** Sets the given faults; others keep their current value. */
  setFaults(faults: ServiceFaults): void;
  log(): ServiceLog;
  stop(): Promise<void>;
}

/**
 * Starts a stand-in for a server of a plain service, for example a booking service.
 *
 * It does not deduplicate calls with the same idempotency key, so that tests can count repeated
 * effects. Its effects, results and fences survive a crash.
 *
 * @param options operations, speeds, limits and time scale
 * @returns the running stand-in
 * @throws {ZodError} if an option is unknown or has a wrong type
 *
 * @example
 * const service = await createServiceStandIn({ coldLimit: 2 });
 */
export async function createServiceStandIn(
  options: ServiceStandInOptions = {},
): Promise<ServiceStandIn> {
  const settings = SERVICE_STAND_IN_OPTIONS.parse(options);
  const faults: ServiceFaults = {};
  const running: { server?: RestartableServer } = {};
  const silence = createSilentConnections(() => running.server?.sockets ?? new Set());
  const core = createServiceCore(
    settings,
    faults,
    () => running.server?.restart(settings.restartMs / settings.timeScale),
  );
  const setFaults = (changes: ServiceFaults) => {
    const { crash, turnCold, silence: mode, ...rest } = SERVICE_FAULTS.parse(changes);
    Object.assign(faults, rest);
    if (mode) silence.set(mode);
    if (turnCold) core.turnCold(turnCold.forMs, turnCold.reported);
    if (crash) core.crash("fault");
  };

  const runOperation = async (req: IncomingMessage, res: ServerResponse, call: ServiceCall) => {
    const outcome = await core.run(call);
    if (silence.isSilent(res.socket) || outcome.kind === "lost") return;
    if (outcome.kind === "refused") {
      const { code, status } = outcome;
      const error = { code, ran: "not_run", requestId: call.requestId };
      return sendJson(res, status, { error }, { "x-refused": code });
    }
    if (consumeFault("loseAnswerNext")) return void req.socket.resetAndDestroy();
    if (consumeFault("silentAnswerNext")) return;
    const { result } = outcome;
    const body = Buffer.from(result.body, "base64");
    const isCrossed = consumeFault("crossNext");
    res.writeHead(result.status, {
      "content-type": result.contentType,
      "content-length": body.length,
      "x-request-id": isCrossed ? "another-request" : call.requestId,
      "x-restart-count": core.restartCount(),
    });
    if (!consumeFault("cutAnswerNext")) return void res.end(body);
    res.write(body.subarray(0, body.length >> 1), () => req.socket.end());
  };
  const consumeFault = (
    name: "loseAnswerNext" | "silentAnswerNext" | "crossNext" | "cutAnswerNext",
  ) => {
    const left = faults[name] ?? 0;
    if (left > 0) faults[name] = left - 1;
    return left > 0;
  };

  const server = await startServer(async (req, res) => {
    const body = await readBody(req);
    if (req.url === "/test/log") return sendJson(res, 200, core.readLog());
    if (req.url === "/test/faults") {
      const { crash, ...rest } = SERVICE_FAULTS.parse(JSON.parse(body.toString()));
      setFaults(rest);
      sendJson(res, 200, {});
      // The crash also breaks this connection, so the response is sent first.
      if (crash) res.on("finish", () => setImmediate(() => setFaults({ crash })));
      return;
    }
    if (silence.isSilent(res.socket)) return;
    if (req.url === "/v1/load") return sendJson(res, 200, core.load());
    const [, kind, name = ""] = /^\/v1\/(operations|fences|results)\/([^/]+)$/
      .exec(req.url ?? "")?.map((part) => decodeURIComponent(part)) ?? [];
    if (kind === "operations" && req.method === "POST") {
      return await runOperation(req, res, {
        requestId: String(req.headers["x-request-id"] ?? ""),
        operation: name,
        key: req.headers["idempotency-key"] as string | undefined,
        fencing: readNumber(req.headers["fencing-number"]),
        expectedRestartCount: readNumber(req.headers["expected-restart-count"]),
        body,
      });
    }
    if (kind === "fences" && req.method === "PUT") {
      const { fencing } = JSON.parse(body.toString()) as { fencing: number };
      if (core.raiseFence(name, fencing)) return sendJson(res, 200, { requestId: name });
      const error = { code: "stale_fencing", ran: "not_run", requestId: name };
      return sendJson(res, 409, { error });
    }
    if (kind === "results" && req.method === "GET") {
      const result = core.result(name);
      if (result) return sendJson(res, 200, { key: name, ...result });
      return sendJson(res, 404, { error: { code: "no_result", ran: "unknown" } });
    }
    sendJson(res, 404, { error: { code: "unknown_path", ran: "not_run" } });
  }, settings);
  running.server = server;
  return {
    url: `http://${settings.host}:${server.port}`,
    port: server.port,
    setFaults,
    log: core.readLog,
    stop: server.stop,
  };
}

function readNumber(header: string | string[] | undefined): number | undefined {
  return header === undefined ? undefined : Number(header);
}
