import type { ServerResponse } from "node:http";
import { createEngineCore } from "./_lib/create_engine_core.ts";
import { serveEngine } from "./_lib/serve_engine.ts";
import {
  createSilentConnections,
  readBody,
  type RestartableServer,
  sendJson,
  startServer,
} from "./_lib/http_helpers.ts";
import {
  ENGINE_FAULTS,
  ENGINE_STAND_IN_OPTIONS,
  type EngineFaults,
  type EngineFaultState,
  type EngineLog,
  type EngineStandInOptions,
} from "./engine_types.ts";

/** A running engine stand-in. */
export interface EngineStandIn {
  url: string;
  port: number;
  /** Sets the named faults; others stay as they are. */
  setFaults(faults: EngineFaults): void;
  log(): EngineLog;
  stop(): Promise<void>;
}

/**
 * Starts a stand-in of a model engine, which serves the protocol of `docs/engine-protocol.md`.
 *
 * @param options sizes, speeds, limits and time scale
 * @returns the running stand-in
 * @throws {ZodError} when an option is unknown or has a wrong type
 *
 * @example
 * const engine = await createEngineStandIn({ memoryTokens: 100_000, timeScale: 20 });
 */
export async function createEngineStandIn(
  options: EngineStandInOptions = {},
): Promise<EngineStandIn> {
  const settings = ENGINE_STAND_IN_OPTIONS.parse(options);
  const faults: EngineFaultState = {};
  const running: { server?: RestartableServer } = {};
  const silence = createSilentConnections(() => running.server?.sockets ?? new Set());
  const core = createEngineCore(
    settings,
    faults,
    () => running.server?.restart(settings.restartMs / settings.timeScale),
  );
  const setFaults = (changes: EngineFaults) => {
    const { crash, turnCold, silence: mode, ...rest } = ENGINE_FAULTS.parse(changes);
    Object.assign(faults, rest);
    if (mode) silence.set(mode);
    if (turnCold) core.turnCold(turnCold.forMs, turnCold.reported);
    if (crash) core.crash("fault");
  };
  const isSilent = (res: ServerResponse) => silence.isSilent(res.socket);
  const server = await startServer(async (req, res) => {
    if (req.url === "/test/log") return sendJson(res, 200, core.readLog());
    if (req.url === "/test/faults") {
      const changes = ENGINE_FAULTS.parse(JSON.parse((await readBody(req)).toString()));
      const { crash, ...rest } = changes;
      setFaults(rest);
      sendJson(res, 200, {});
      // Answered first, because a crash breaks this connection too.
      if (crash) res.on("finish", () => setImmediate(() => setFaults({ crash })));
      return;
    }
    await serveEngine(req, res, { core, settings, faults, isSilent });
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
