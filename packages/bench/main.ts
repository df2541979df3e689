import { command, number, oneOf, option, positional, run, string, subcommands } from "cmd-ts";
import { makeSchedule, SCHEDULES } from "./_lib/make_schedule.ts";
import { type Fleet, startFleet } from "./_lib/start_fleet.ts";
import { startJaypassFleet } from "./_lib/start_jaypass_fleet.ts";
import type { Target } from "./_lib/target.ts";
import { createJaypassTarget } from "./create_jaypass_target.ts";
import { createPolicyTarget, POLICIES, type Policy } from "./create_policy_target.ts";
import { drive, type DriveOptions } from "./drive.ts";
import { makeWorkload } from "./make_workload.ts";
import { measurePlacementCost } from "./measure_placement_cost.ts";
import { measureLatency } from "./measure_latency.ts";
import { measureThroughput } from "./measure_throughput.ts";
import { type Profile, PROFILES } from "./profiles.ts";
import { runLoad } from "./run_load.ts";
import { summarise } from "./summarise.ts";
import { type ReportRun, writeReport } from "./write_report.ts";

const numberOption = (long: string, value: number) =>
  option({ type: number, long, defaultValue: () => value });
const stringOption = (long: string, value: string) =>
  option({ type: string, long, defaultValue: () => value });

const load = command({
  name: "load",
  description: "Runs the same load against each target, each time on a fresh fleet of stand-ins",
  args: {
    profile: option({ type: oneOf<string>(Object.keys(PROFILES)), long: "profile" }),
    targets: stringOption("targets", [...POLICIES, "jaypass"].join(",")),
    mixes: stringOption("mixes", "without,with"),
    schedule: option({
      type: oneOf<string>(SCHEDULES),
      long: "schedule",
      defaultValue: () => "none",
    }),
    seconds: numberOption("seconds", 120),
    rate: numberOption("rate", 0),
    scale: numberOption("scale", 4),
    hosts: numberOption("hosts", 0),
    "warm-up": numberOption("warm-up", 20),
    seed: numberOption("seed", 1),
    out: stringOption("out", "results"),
    name: stringOption("name", "load"),
  },
  handler: async (args) => {
    const known: Profile = PROFILES[args.profile as keyof typeof PROFILES];
    const profile = { ...known, hosts: args.hosts || known.hosts };
    const durationMs = args.seconds * 1_000;
    const timeScale = args.scale;
    const { seed, schedule } = args;
    const ratePerSecond = args.rate || profile.ratePerSecond;
    const { bytesPerToken } = profile;
    const runs: ReportRun[] = [];
    // The report is written after each run, so that a later failure does not lose earlier results.
    const report = () =>
      writeReport({
        title: `${args.profile}: ${schedule === "none" ? "steady load" : schedule}`,
        command: `npm run bench -- ${process.argv.slice(2).join(" ")}`,
        seed,
        settings: {
          "time scale": timeScale,
          "requests/s": ratePerSecond,
          engines: profile.engines,
          hosts: profile.hosts,
          "warm-up s, left out": args["warm-up"],
        },
        runs,
      }, { directory: args.out, name: args.name });
    for (const mix of args.mixes.split(",")) {
      const isWithoutLong = mix === "without";
      const arrivals = makeWorkload(profile, { seed, durationMs, ratePerSecond, isWithoutLong });
      for (const name of args.targets.split(",")) {
        const { fleet, target } = await startTarget(name, profile, { timeScale, seed });
        try {
          const events = makeSchedule(schedule, { profile, fleet, target, durationMs });
          const result = await runLoad(target, arrivals, { timeScale, bytesPerToken, events });
          // During the first seconds, new processes compile code and acquire leases.
          const samples = result.samples.filter(({ atMs }) => atMs >= args["warm-up"] * 1_000);
          const logs = (await Promise.all(fleet.engines.map(fleet.readLog))).flatMap((log) =>
            log ?? []
          );
          runs.push({
            target: name,
            mix: `${mix} long`,
            summary: summarise({ ...result, samples }, durationMs),
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
        await report();
        process.stderr.write(`${name}, ${mix} long prompts: done\n`);
      }
    }
    process.stdout.write(await report());
  },
});

async function startTarget(
  name: string,
  profile: Profile,
  options: { timeScale: number; seed: number },
): Promise<{ fleet: Fleet; target: Target }> {
  if (name === "jaypass") {
    const { system, fleet, workspaces } = await startJaypassFleet(profile, options.timeScale);
    return { fleet, target: createJaypassTarget(system, { workspaces, seed: options.seed }) };
  }
  const fleet = await startFleet(profile, options.timeScale);
  const { engines } = fleet;
  return { fleet, target: createPolicyTarget(name as Policy, { profile, engines, ...options }) };
}

const latency = command({
  name: "latency",
  description: "Measures what an entry host adds to the time to first token on an idle system",
  args: { rounds: numberOption("rounds", 2_000) },
  handler: async ({ rounds }) => print(await measureLatency(rounds)),
});

const throughput = command({
  name: "throughput",
  description: "Measures the requests per second of one entry host with a full core",
  args: {
    seconds: numberOption("seconds", 10),
    concurrency: numberOption("concurrency", 32),
    tokens: numberOption("tokens", 16),
    "prompt-tokens": numberOption("prompt-tokens", 1_000),
    engines: numberOption("engines", 6),
  },
  handler: async (args) => {
    const { seconds, concurrency, engines } = args;
    const size = { maxTokens: args.tokens, promptTokens: args["prompt-tokens"] };
    const options = { seconds, concurrency, engines, ...size, workspace: "school" };
    print(await measureThroughput(process.argv[1] ?? "", options));
  },
});

const driver = command({
  name: "drive",
  description: "Loads one host; started by throughput",
  args: { options: positional({ type: string, displayName: "json" }) },
  handler: async ({ options }) => {
    const { url, ...rest } = JSON.parse(options) as DriveOptions & { url: string };
    print(await drive(url, rest));
  },
});

const placementCost = command({
  name: "placement-cost",
  description:
    "Measures the time of the placer's decisions in simulated loads, by number of engines",
  args: {
    engines: stringOption("engines", "50,112,300,940"),
    seconds: numberOption("seconds", 5),
    factor: numberOption("factor", 1),
    seed: numberOption("seed", 1),
  },
  handler: async ({ engines, seconds, factor, seed }) => {
    for (const count of engines.split(",").map(Number)) {
      print(await measurePlacementCost(count, { seed, factor, lengthMs: seconds * 1_000 }));
    }
  },
});

function print(result: object): void {
  process.stdout.write(JSON.stringify(result, null, 2) + "\n");
}

const cmds = { load, latency, throughput, drive: driver, "placement-cost": placementCost };
await run(subcommands({ name: "bench", cmds }), process.argv.slice(2));
