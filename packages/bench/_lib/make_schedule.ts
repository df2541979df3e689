import type { Profile } from "../profiles.ts";
import type { ScheduledEvent } from "../run_load.ts";
import type { Fleet } from "./start_fleet.ts";
import type { Target } from "./target.ts";

/** Names of the fault schedules. */
export const SCHEDULES = ["none", "data_centre_leaves", "data_centre_dies"] as const;

/** Run to which a schedule applies. */
export interface ScheduleContext {
  profile: Profile;
  fleet: Fleet;
  target: Target;
  durationMs: number;
}

/**
 * Plans the events of a fault schedule, which all affect the last data centre of the profile.
 *
 * `data_centre_leaves`: the data centre is taken out of service at 25% of the run, its engines restart
 * at 45%, and it is put back into service at 50%.
 * `data_centre_dies`: its engines are killed at 25% of the run and restart, cold, at 50%.
 *
 * @param name name of the schedule
 * @param context the run
 * @returns events in the order of their times
 */
export function makeSchedule(name: string, context: ScheduleContext): ScheduledEvent[] {
  const { profile, fleet, target, durationMs } = context;
  const dataCentre = profile.dataCentres.at(-1) ?? "";
  const engines = fleet.engines.filter((engine) => engine.dataCentre === dataCentre);
  const kill = async () => void await Promise.all(engines.map(fleet.kill));
  const restart = async () => void await Promise.all(engines.map(fleet.restart));
  const at = (share: number, what: string, run: () => Promise<void>): ScheduledEvent => ({
    atMs: share * durationMs,
    name: `${dataCentre} ${what}`,
    run,
  });
  if (name === "data_centre_leaves") {
    return [
      at(0.25, "taken out", () => target.setDataCentre(dataCentre, "out")),
      at(0.45, "restarted", async () => {
        await kill();
        await restart();
      }),
      at(0.5, "put back", () => target.setDataCentre(dataCentre, "in")),
    ];
  }
  if (name === "data_centre_dies") {
    return [at(0.25, "killed", kill), at(0.5, "started again", restart)];
  }
  return [];
}
