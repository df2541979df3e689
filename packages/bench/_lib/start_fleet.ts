import type { EngineLog } from "@jaypass/stand_ins";
import type { Profile } from "../profiles.ts";
import { type RunningProgram, startProgram } from "./start_program.ts";

/** An engine of the fleet. */
export interface FleetEngine {
  id: string;
  url: string;
  dataCentre: string;
}

/** Engine stand-ins in separate processes, distributed evenly over the data centres. */
export interface Fleet {
  engines: FleetEngine[];
  /** Reads the test log of an engine; `undefined` when the engine is not reachable. */
  readLog(engine: FleetEngine): Promise<EngineLog | undefined>;
  /** Kills the process of an engine. */
  kill(engine: FleetEngine): Promise<void>;
  /** Restarts a killed engine on the same port; it is cold. */
  restart(engine: FleetEngine): Promise<void>;
  stop(): Promise<void>;
}

/**
 * Starts the engines of a profile and waits until they are warm.
 *
 * @param profile fleet to start
 * @param timeScale factor by which modelled time runs faster than real time
 */
export async function startFleet(profile: Profile, timeScale: number): Promise<Fleet> {
  const programs = new Map<string, RunningProgram>();
  let starts = 0;
  const start = async (id: string, port: number) => {
    starts += 1;
    const program = await startProgram("engine_stand_in", {
      port,
      id,
      models: { [profile.model]: "1" },
      memoryTokens: profile.memoryTokens,
      coldLimit: profile.coldLimit,
      warmLimit: profile.warmLimit,
      coldMs: profile.coldMs,
      restartMs: 5_000,
      prefillTokensPerSecond: profile.prefillTokensPerSecond,
      msPerOutputToken: profile.msPerOutputToken,
      bytesPerToken: profile.bytesPerToken,
      restartCount: starts * 1_000,
      timeScale,
    });
    programs.set(id, program);
    return program.port;
  };
  const engines: FleetEngine[] = [];
  for (let index = 0; index < profile.engines; index += 1) {
    const id = `engine-${index}`;
    const port = await start(id, 0);
    const dataCentre = profile.dataCentres[index % profile.dataCentres.length] ?? "";
    engines.push({ id, url: `http://127.0.0.1:${port}`, dataCentre });
  }
  await new Promise((resolve) => setTimeout(resolve, 1.2 * profile.coldMs / timeScale + 200));
  return {
    engines,
    async readLog(engine) {
      try {
        return await (await fetch(`${engine.url}/test/log`)).json() as EngineLog;
      } catch {
        return undefined;
      }
    },
    kill: (engine) => programs.get(engine.id)?.stop() ?? Promise.resolve(),
    restart: async (engine) => void await start(engine.id, Number(new URL(engine.url).port)),
    async stop() {
      await Promise.all([...programs.values()].map((program) => program.stop()));
    },
  };
}
