import { createIpc } from "./create_ipc.ts";
import { fork } from "node:child_process";
import type { ListedHost } from "@jaypass/store_clients";
import type { PeerTls } from "@jaypass/peers";
import { loadavg } from "node:os";
import { sleep } from "@jaypass/kernel";
import type { WatchCondition, WorkerSettings, WorkerTotals } from "./control_worker.ts";

/** Processes used when hosts share processes. */
const SHARED_PROCESSES = 10;
/** Up to this many hosts have a process each. */
const MAX_SINGLE_HOSTS = 24;
const LIST_LAG_MS = 10_000;
const SETTLE_MS = 10_000;
const RESTART_WINDOW_MS = 30_000;

/** Options of {@linkcode runControl}. */
export interface ControlRunOptions {
  topology: "ring" | "mesh";
  tls: PeerTls;
  seed: number;
  idleMs: number;
  /** Hosts in one process; 0 chooses by their number. */
  perProcess: number;
}

/** Rates of a phase, per host except for the calls to the host list, which are in total. */
export interface PhaseCost {
  countedBytesPerS: number;
  socketBytesPerS: number;
  corePercent: number;
  listReadsPerS: number;
  listWritesPerS: number;
  listBytesPerS: number;
}

/** Result of a run. */
export interface ControlRunResult {
  hosts: number;
  topology: string;
  isTls: boolean;
  processes: number;
  convergedMs: number;
  idle: PhaseCost;
  heapPerHostBytes: number;
  heapGrowthPerHostBytes: number;
  digestMs: string;
  deadS: string;
  restartS: string;
  restart: PhaseCost | undefined;
  falseDeaths: number;
  /** Longest stall of a process until the kill, and load of the machine at the end of the run. */
  maxStallMs: number;
  load: number;
}

/** A host list whose readers see what was written some time ago. */
function createLaggingList() {
  const versions: { atMs: number; hosts: ListedHost[] }[] = [{ atMs: 0, hosts: [] }];
  const counts = { reads: 0, writes: 0, bytes: 0 };
  const write = (change: (hosts: ListedHost[]) => ListedHost[]) => {
    counts.writes++;
    versions.push({ atMs: Date.now(), hosts: change(versions.at(-1)!.hosts) });
  };
  return {
    counts,
    handlers: {
      list() {
        counts.reads++;
        const { hosts } = versions.findLast(({ atMs }) => atMs <= Date.now() - LIST_LAG_MS)!;
        counts.bytes += JSON.stringify(hosts).length;
        return hosts;
      },
      register: (host: ListedHost) =>
        write((hosts) => [...hosts.filter(({ id }) => id !== host.id), host]),
      remove: ({ id }: { id: string }) => write((hosts) => hosts.filter((host) => host.id !== id)),
    },
  };
}

/** Median and maximum of times after a start, or how many hosts never got there. */
function summarise(times: (number | null)[], startMs: number, unitMs: number): string {
  const missing = times.filter((time) => time === null).length;
  if (missing > 0) return `${missing} of ${times.length} never`;
  const sorted = times.map((time) => (time! - startMs) / unitMs).sort((a, b) => a - b);
  const digits = unitMs === 1 ? 0 : 1;
  return `${sorted[sorted.length >> 1]!.toFixed(digits)} / ${sorted.at(-1)!.toFixed(digits)}`;
}

/**
 * Runs some hosts of the control plane and measures idle cost, the spread of a digest, the
 * detection of a dead host and the restart of a third of the hosts.
 */
export async function runControl(
  count: number,
  options: ControlRunOptions,
): Promise<ControlRunResult> {
  const { topology, tls, seed, idleMs } = options;
  const ids = Array.from({ length: count }, (_, n) => `host-${n}`);
  const perProcess = options.perProcess ||
    (count <= MAX_SINGLE_HOSTS ? 1 : Math.ceil(count / SHARED_PROCESSES));
  const list = createLaggingList();
  const workers = Array.from({ length: Math.ceil(count / perProcess) }, (_, n) => {
    const child = fork(new URL("./control_worker.ts", import.meta.url), {
      execArgv: ["--import=tsx", "--expose-gc"],
    });
    const own = ids.slice(n * perProcess, (n + 1) * perProcess);
    return { child, ids: own, ...createIpc(child, list.handlers) };
  });

  const each = <T>(command: string, args: unknown = {}) =>
    Promise.all(workers.map((worker) => worker.call<T>(command, args)));
  const ownerOf = (id: string) => workers.find((worker) => worker.ids.includes(id))!;
  const watch = async (condition: Omit<WatchCondition, "timeoutMs">, timeoutMs: number) =>
    (await each<(number | null)[]>("watch", { ...condition, timeoutMs })).flat();
  const sum = (totals: WorkerTotals[], key: keyof WorkerTotals) =>
    totals.reduce((value, one) => value + one[key], 0);
  const sample = async () => ({
    atMs: performance.now(),
    totals: await each<WorkerTotals>("totals"),
    list: { ...list.counts },
  });
  type Sample = Awaited<ReturnType<typeof sample>>;
  const cost = (from: Sample, to: Sample): PhaseCost => {
    const seconds = (to.atMs - from.atMs) / 1_000;
    const rate = (key: keyof WorkerTotals) =>
      (sum(to.totals, key) - sum(from.totals, key)) / seconds / count;
    return {
      countedBytesPerS: rate("countedBytes"),
      // Each connection is seen by the host that opened it and loads the other one as much.
      socketBytesPerS: 2 * rate("socketBytes"),
      corePercent: rate("cpuMs") / 10,
      listReadsPerS: (to.list.reads - from.list.reads) / seconds,
      listWritesPerS: (to.list.writes - from.list.writes) / seconds,
      listBytesPerS: (to.list.bytes - from.list.bytes) / seconds / count,
    };
  };

  try {
    const startMs = Date.now();
    const baseline = await Promise.all(workers.map((worker, n) => {
      const settings: WorkerSettings = { ids: worker.ids, seed: seed * 1_000 + n, tls, topology };
      return worker.call<number>("start", settings);
    }));
    const converged = await watch({ alive: ids }, 120_000);
    if (converged.includes(null)) throw new Error("The hosts did not find each other");
    await sleep(SETTLE_MS);

    const idleStart = await sample();
    await sleep(idleMs);
    const idleEnd = await sample();

    const raisedMs = Date.now();
    const spread = watch({ revision: 2 }, 20_000);
    await ownerOf(ids[1]!).call("raise", { id: ids[1] });
    const digestMs = summarise(await spread, raisedMs, 1);

    const victim = ids[count >> 1]!;
    await ownerOf(victim).call("kill", { ids: [victim] });
    const killedMs = Date.now();
    const { totals: beforeDeath } = await sample();
    const deadS = summarise(await watch({ dead: victim }, 60_000), killedMs, 1_000);

    const third = ids.filter((id, n) => n % 3 === 0 && id !== victim);
    const old = Object.assign({}, ...await each<Record<string, string>>("incarnations"));
    const newerThan = Object.fromEntries(third.map((id) => [id, old[id]]));
    const restartStart = await sample();
    const restartedMs = Date.now();
    await each("restart", { ids: third });
    const alive = ids.filter((id) => id !== victim);
    const known = await watch({ alive, newerThan }, 60_000);
    await sleep(Math.max(0, RESTART_WINDOW_MS - (Date.now() - restartedMs)));
    const restartEnd = await sample();
    const heap = (at: Sample) => sum(at.totals, "heapBytes") / count;
    return {
      hosts: count,
      topology,
      isTls: tls !== "off",
      processes: workers.length,
      convergedMs: Math.max(...converged.map((time) => time! - startMs)),
      idle: cost(idleStart, idleEnd),
      heapPerHostBytes: heap(idleEnd) - baseline.reduce((a, b) => a + b, 0) / count,
      heapGrowthPerHostBytes: heap(idleEnd) - heap(idleStart),
      digestMs,
      deadS,
      restartS: summarise(known, restartedMs, 1_000),
      restart: cost(restartStart, restartEnd),
      falseDeaths: sum(beforeDeath, "falseDeaths"),
      maxStallMs: Math.max(...beforeDeath.map(({ maxStallMs }) => maxStallMs)),
      load: loadavg()[0]!,
    };
  } finally {
    for (const { child } of workers) child.kill();
  }
}
