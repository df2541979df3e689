import { command, number, oneOf, option, run, string, subcommands } from "cmd-ts";
import { createPolicyTarget, POLICIES, type Policy } from "./create_policy_target.ts";
import { makeSchedule, SCHEDULES } from "./_lib/make_schedule.ts";
import { startFleet } from "./_lib/start_fleet.ts";
import { makeWorkload } from "./make_workload.ts";
import { PROFILES } from "./profiles.ts";
import { runLoad } from "./run_load.ts";
import { summarise } from "./summarise.ts";
import { type ReportRun, writeReport } from "./write_report.ts";

const seedOption = option({ type: number, long: "seed", defaultValue: () => 1 });

const load = command({
  name: "load",
  description: "Runs the same load against each target, each time on a fresh fleet of stand-ins",
  args: {
    profile: option({ type: oneOf(["nachtwacht", "vigie"]), long: "profile" }),
    targets: option({ type: string, long: "targets", defaultValue: () => POLICIES.join(",") }),
    mixes: option({ type: string, long: "mixes", defaultValue: () => "without,with" }),
    schedule: option({
      type: oneOf<string>(SCHEDULES),
      long: "schedule",
      defaultValue: () => "none",
    }),
    seconds: option({ type: number, long: "seconds", defaultValue: () => 120 }),
    rate: option({ type: number, long: "rate", defaultValue: () => 0 }),
    scale: option({ type: number, long: "scale", defaultValue: () => 4 }),
    seed: seedOption,
    out: option({ type: string, long: "out", defaultValue: () => "results" }),
    name: option({ type: string, long: "name", defaultValue: () => "load" }),
  },
  handler: async (args) => {
    const profile = PROFILES[args.profile as keyof typeof PROFILES];
    const durationMs = args.seconds * 1_000;
    const timeScale = args.scale;
    const ratePerSecond = args.rate || profile.ratePerSecond;
    const runs: ReportRun[] = [];
    for (const mix of args.mixes.split(",")) {
      const isWithoutLong = mix === "without";
      const workload = { seed: args.seed, durationMs, ratePerSecond, isWithoutLong };
      const arrivals = makeWorkload(profile, workload);
      for (const name of args.targets.split(",")) {
        const fleet = await startFleet(profile, timeScale);
        const { engines } = fleet;
        const settings = { profile, engines, timeScale, seed: args.seed };
        const target = createPolicyTarget(name as Policy, settings);
        try {
          const events = makeSchedule(args.schedule, { profile, fleet, target, durationMs });
          const { bytesPerToken } = profile;
          const result = await runLoad(target, arrivals, { timeScale, bytesPerToken, events });
          const logs = (await Promise.all(engines.map(fleet.log))).flatMap((log) => log ?? []);
          runs.push({
            target: name,
            mix: `${mix} long`,
            summary: summarise(result, durationMs),
            engines: {
              crashes: logs.reduce((sum, log) => sum + log.crashes.length, 0),
              highestWhileCold: Math.max(...logs.map((log) => log.highestWhileCold)),
              generatedTokens: logs.reduce((sum, log) => sum + log.generatedTokens, 0),
            },
          });
        } finally {
          await target.stop();
          await fleet.stop();
        }
        process.stderr.write(`${name}, ${mix} long prompts: done\n`);
      }
    }
    const markdown = await writeReport({
      title: `${args.profile}: ${args.schedule === "none" ? "steady load" : args.schedule}`,
      command: `npm run bench -- ${process.argv.slice(2).join(" ")}`,
      seed: args.seed,
      settings: { "time scale": timeScale, "requests/s": ratePerSecond, engines: profile.engines },
      runs,
    }, { directory: args.out, name: args.name });
    process.stdout.write(markdown);
  },
});

await run(subcommands({ name: "bench", cmds: { load } }), process.argv.slice(2));
