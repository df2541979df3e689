/**
 * Measures resource use and failure detection times of the control plane over loopback sockets.
 *
 * Run: `npx tsx packages/bench/control_cost.ts --hosts 18,60,120,340 --mesh 18,60 --seed 7`
 *
 * @module
 */
import { binary, command, flag, number, option, run, string } from "cmd-ts";
import { type ControlRunResult, runControl } from "./_lib/run_control.ts";
import type { PeerTls } from "@jaypass/peers";
import { readFileSync } from "node:fs";

function testKeys(): PeerTls {
  const read = (name: string) =>
    readFileSync(new URL(`../peers/test_keys/${name}.pem`, import.meta.url), "utf8");
  return { ca: read("ca"), cert: read("host"), key: read("host_key") };
}

const COLUMNS: [string, (result: ControlRunResult) => string | number][] = [
  ["hosts", (r) => r.hosts],
  ["connections", (r) => r.topology],
  ["TLS", (r) => r.isTls ? "yes" : "no"],
  ["processes", (r) => r.processes],
  ["converged s", (r) => (r.convergedMs / 1_000).toFixed(1)],
  ["idle B/s counted", (r) => Math.round(r.idle.countedBytesPerS)],
  ["idle B/s socket", (r) => Math.round(r.idle.socketBytesPerS)],
  ["idle core %", (r) => r.idle.corePercent.toFixed(2)],
  ["heap/host MB", (r) => (r.heapPerHostBytes / 2 ** 20).toFixed(2)],
  ["list reads/s", (r) => r.idle.listReadsPerS.toFixed(2)],
  ["list writes/s", (r) => r.idle.listWritesPerS.toFixed(2)],
  ["list B/s", (r) => Math.round(r.idle.listBytesPerS)],
  ["digest ms p50/max", (r) => r.digestMs],
  ["dead s p50/max", (r) => r.deadS],
  ["restart: known s p50/max", (r) => r.restartS],
  ["restart B/s socket", (r) => Math.round(r.restart?.socketBytesPerS ?? NaN)],
  ["restart core %", (r) => r.restart?.corePercent.toFixed(2) ?? ""],
  ["restart list writes/s", (r) => r.restart?.listWritesPerS.toFixed(2) ?? ""],
  ["restart list reads/s", (r) => r.restart?.listReadsPerS.toFixed(2) ?? ""],
  ["heap growth/host KB", (r) => Math.round(r.heapGrowthPerHostBytes / 1_024)],
  ["false deaths", (r) => r.falseDeaths],
  ["longest stall ms", (r) => Math.round(r.maxStallMs)],
  ["load", (r) => r.load.toFixed(1)],
];

const cli = command({
  name: "control_cost",
  args: {
    hosts: option({ type: string, long: "hosts", defaultValue: () => "18,60,120,340" }),
    mesh: option({ type: string, long: "mesh", defaultValue: () => "18,60,120" }),
    seed: option({ type: number, long: "seed", defaultValue: () => 7 }),
    idleS: option({ type: number, long: "idle-s", defaultValue: () => 40 }),
    perProcess: option({ type: number, long: "per-process", defaultValue: () => 0 }),
    tls: flag({ long: "tls" }),
  },
  handler: async ({ hosts, mesh, seed, idleS, perProcess, tls }) => {
    const sizes = (list: string) => list.split(",").filter(Boolean).map(Number);
    const runs = [
      ...sizes(hosts).map((count) => ({ count, topology: "ring" as const })),
      ...sizes(mesh).map((count) => ({ count, topology: "mesh" as const })),
    ];
    const print = (cells: (string | number)[]) => console.log(`| ${cells.join(" | ")} |`);
    print(COLUMNS.map(([name]) => name));
    print(COLUMNS.map(() => "---"));
    for (const { count, topology } of runs) {
      const options = { topology, seed, idleMs: idleS * 1_000, perProcess };
      const result = await runControl(count, { ...options, tls: tls ? testKeys() : "off" });
      print(COLUMNS.map(([, cell]) => cell(result)));
    }
  },
});

await run(binary(cli), process.argv);
