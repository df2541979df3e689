import { createIpc } from "./create_ipc.ts";
import { fork } from "node:child_process";
import type { ListedHost } from "@jaypass/store_clients";
import type { PeerTls } from "@jaypass/peers";
import { loadavg } from "node:os";
import { sleep } from "@jaypass/kernel";
import type { WatchCondition, WorkerSettings, WorkerTotals } from "./control_worker.ts";

/** Number of processes when several hosts share a process. */
const SHARED_PROCESSES = 10;

/** Up to this number of hosts, each host has its own process. */
const MAX_SINGLE_HOSTS = 24;

/** Delay after which readers of the host list see a write. */
const LIST_LAG_MS = 10_000;

/** Pause after convergence, before the idle phase is measured. */
const SETTLE_MS = 10_000;

/** Least duration of the restart phase over which its cost is measured. */
const RESTART_WINDOW_MS = 30_000;

/** Options of {@linkcode runControl}. */
export interface ControlRunOptions {
  topology: "ring" | "mesh";
  tls: PeerTls;
  seed: number;
  idleMs: number;
  /** Hosts per process; 0 selects it by the number of hosts. */
  perProcess: number;
}

/** Rates during a phase, per host, except for the calls to the host list, which are totals. */
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
  /** Longest event loop delay of a process before the host is killed. */
  maxStallMs: number;
  /** Load average of the machine at the end of the run. */
  load: number;
}

/** Creates a host list whose reads lag behind its writes by `LIST_LAG_MS`. */
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

/** Formats median and maximum of times since a start, or the number of hosts without a time. */
function summarise(times: (number | null)[], startMs: number, unitMs: number): string {
  const missing = times.filter((time) => time === null).length;
  if (missing > 0) return `${missing} of ${times.length} never`;
  const sorted = times.map((time) => (time! - startMs) / unitMs).sort((a, b) => a - b);
  const digits = unitMs === 1 ? 0 : 1;
  return `${sorted[sorted.length >> 1]!.toFixed(digits)} / ${sorted.at(-1)!.toFixed(digits)}`;
}

/**
 * Runs hosts of the control plane and measures their cost when idle, the propagation of a digest, the
 * detection of a dead host, and the restart of a third of the hosts.
 *
 * @param count number of hosts
 * @param options topology, TLS, seed and durations
 * @returns cost and times of each phase
 * @throws when the hosts do not discover each other within 120 s
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
      // Only the host that opened a connection counts its bytes; the other host transfers as many.
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
    if (converged.includes(null)) throw new Error("Hosts did not discover each other within 120 s");
    await sleep(SETTLE_MS);

    const idleStart = await sample();
    await sleep(idleMs);
    const idleEnd = await sample();

    const incrementedMs = Date.now();
    const spread = watch({ revision: 2 }, 20_000);
    await ownerOf(ids[1]!).call("raise", { id: ids[1] });
    const digestMs = summarise(await spread, incrementedMs, 1);

    const victim = ids[count >> 1]!;
    await ownerOf(victim).call("kill", { ids: [victim] });
    const killedMs = Date.now();
    const { totals: beforeDeath } = await sample();
    const deadS = summarise(await watch({ dead: victim }, 60_000), killedMs, 1_000);

    const restartedIds = ids.filter((id, n) => n % 3 === 0 && id !== victim);
    const old = Object.assign({}, ...await each<Record<string, string>>("incarnations"));
    const newerThan = Object.fromEntries(restartedIds.map((id) => [id, old[id]]));
    const restartStart = await sample();
    const restartedMs = Date.now();
    await each("restart", { ids: restartedIds });
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
