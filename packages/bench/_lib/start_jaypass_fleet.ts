import { startSystem, type System, TEST_MODEL } from "@jaypass/system_tests";
import type { EngineLog } from "@jaypass/stand_ins";
import type { Profile } from "../profiles.ts";
import type { Fleet } from "./start_fleet.ts";
import { type RunningProgram, startProgram } from "./start_program.ts";

/**
 * Restart counts of engines that the load tool restarts start above this one, so that they differ from
 * those of the original processes.
 */
const RESTART_COUNT_OFFSET = 1_000_000;

/**
 * Starts the complete system of a profile and waits until its engines are warm.
 *
 * @param profile system to start
 * @param timeScale factor by which modelled time runs faster than real time
 */
export async function startJaypassFleet(
  profile: Profile,
  timeScale: number,
): Promise<{ system: System; fleet: Fleet; workspaces: string[] }> {
  const workspaces = profile.workspaceShares.map((_, index) => `w${index}`);
  const speed = {
    prefillTokensPerSecond: profile.prefillTokensPerSecond * timeScale,
    msPerOutputToken: profile.msPerOutputToken / timeScale,
  };
  const engine = {
    memoryTokens: profile.memoryTokens,
    coldLimit: profile.coldLimit,
    warmLimit: profile.warmLimit,
    coldMs: profile.coldMs / timeScale,
  };
  // The configuration document already holds scaled speeds, so the stand-ins run at time scale 1.
  const engineOptions = {
    restartMs: 5_000 / timeScale,
    loadLagMs: 500 / timeScale,
    cacheEventLagMs: 500 / timeScale,
  };
  const system = await startSystem({
    hosts: profile.hosts,
    engines: profile.engines,
    services: profile.serviceServers,
    dataCentres: [...profile.dataCentres],
    workspaces,
    speed,
    timeoutMs: 400_000,
    oneWayMs: profile.oneWayMs,
    engine,
    engineOptions,
  });
  await new Promise((resolve) => setTimeout(resolve, engine.coldMs + 2_000));
  const restarted = new Map<string, RunningProgram>();
  let restartCount = RESTART_COUNT_OFFSET;
  const fleet: Fleet = {
    engines: system.engines,
    readLog: (one) => system.readLog<EngineLog>(one.url).catch(() => undefined),
    async kill(one) {
      await restarted.get(one.id)?.stop();
      const originalEngine = system.engines.find(({ id }) => id === one.id);
      originalEngine?.program.signal("SIGKILL");
      await originalEngine?.program.exited;
    },
    async restart(one) {
      restartCount += 1_000;
      const port = Number(new URL(one.url).port);
      const models = { [TEST_MODEL]: "1" };
      const settings = { port, id: one.id, models, ...speed, ...engine, ...engineOptions };
      restarted.set(one.id, await startProgram("engine_stand_in", { ...settings, restartCount }));
    },
    async stop() {
      await Promise.all([...restarted.values()].map((program) => program.stop()));
      await system.stop();
    },
  };
  return { system, fleet, workspaces };
}
