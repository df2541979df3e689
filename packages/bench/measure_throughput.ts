import { spawn } from "node:child_process";
import { startSystem } from "@jaypass/system_tests";
import { readCpuMs } from "./_lib/read_cpu_ms.ts";
import type { DriveOptions, DriveResult } from "./drive.ts";

/** Number of driver processes. One driver uses about as much CPU time as the host, so one is too few. */
const DRIVERS = 3;

/** Throughput of one host and the resources that it used. */
export interface ThroughputResult {
  requestsPerSecond: number;
  failed: number;
  /** Share of a core that the host used during the measurement. */
  hostCore: number;
  /** CPU time of the host per request. */
  hostCpuMsPerRequest: number;
  /** Share of a core that the busiest engine used; the result is valid only if it is well below 1. */
  busiestEngineCore: number;
  p50Ms: number;
  p99Ms: number;
}

/**
 * Measures how many requests per second one entry host serves when it saturates its core.
 *
 * @param drivePath program that runs a driver; it is started with `drive` and one JSON argument
 * @param options size of the requests and length of the measurement
 * @returns request rate, CPU use and latency
 *
 * @example
 * const result = await measureThroughput(process.argv[1], { seconds: 10, ... });
 */
export async function measureThroughput(
  drivePath: string,
  options: DriveOptions & { engines: number },
): Promise<ThroughputResult> {
  const { engines, ...driveOptions } = options;
  const system = await startSystem({
    hosts: 1,
    engines,
    services: 0,
    workspaces: [options.workspace],
    engine: { coldMs: 0, warmLimit: 256 },
    speed: { prefillTokensPerSecond: 10_000_000, msPerOutputToken: 0.5 },
  });
  try {
    const host = system.hosts[0];
    if (!host) throw new Error("System has no host");
    const run = (seconds: number) =>
      Promise.all(
        Array.from({ length: DRIVERS }, () =>
          runDriver(drivePath, host.url, { ...driveOptions, seconds })),
      );
    await run(2);
    const pids = [host.program.pid, ...system.engines.map((engine) => engine.program.pid)];
    const before = await Promise.all(pids.map(readCpuMs));
    const startMs = performance.now();
    const results = await run(options.seconds);
    const elapsedMs = performance.now() - startMs;
    const after = await Promise.all(pids.map(readCpuMs));
    const [hostCpuMs = 0, ...engineCpuMs] = after.map((ms, index) => ms - (before[index] ?? 0));
    const completeAnswers = results.reduce((sum, result) => sum + result.whole, 0);
    return {
      requestsPerSecond: completeAnswers / options.seconds,
      failed: results.reduce((sum, result) => sum + result.failed, 0),
      hostCore: hostCpuMs / elapsedMs,
      hostCpuMsPerRequest: hostCpuMs / Math.max(1, completeAnswers),
      busiestEngineCore: Math.max(...engineCpuMs) / elapsedMs,
      p50Ms: Math.max(...results.map((result) => result.totalMs.p50)),
      p99Ms: Math.max(...results.map((result) => result.totalMs.p99)),
    };
  } finally {
    await system.stop();
  }
}

function runDriver(path: string, url: string, options: DriveOptions): Promise<DriveResult> {
  const child = spawn(process.execPath, [path, "drive", JSON.stringify({ url, ...options })], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  let output = "";
  child.stdout.on("data", (chunk: Buffer) => (output += chunk.toString()));
  return new Promise((resolve, reject) => {
    child.once("error", reject);
    child.once("close", (code) => {
      if (code === 0) resolve(JSON.parse(output) as DriveResult);
      else reject(new Error(`Load driver ended with code "${code}"`));
    });
  });
}
