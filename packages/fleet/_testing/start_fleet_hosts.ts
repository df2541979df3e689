import { setTimeout as wait } from "node:timers/promises";
import type { ExecutionContext } from "ava";
import { createClock, createTaskGroup, DecodeError } from "@jaypass/kernel";
import type { Logger, Metrics } from "@jaypass/kernel";
import { chooseHubs } from "../choose_hubs.ts";
import { createFleet } from "../create_fleet.ts";
import type { Fleet } from "../create_fleet.ts";
import { TABLE } from "../types.ts";
import type { HostEntry, Table } from "../types.ts";
import { createMemoryStore } from "./create_memory_store.ts";
import type { MemoryStore } from "./create_memory_store.ts";

/** A fleet whose jobs, decisions and reports are strings. */
export type TestFleet = Fleet<string, string, string>;

/** A host that runs in the process of the test. */
export interface TestHost {
  entry: HostEntry;
  fleet: TestFleet;
  /** Reports that this host received as a hub. */
  reports: string[];
  /** Facts that this host knows. */
  facts: Set<unknown>;
  /** Adds a fact and sends it to the other hosts. */
  addFact(fact: string): void;
  /** Stops the host without a shutdown, like a killed process. */
  kill(): Promise<void>;
}

const LOG: Logger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: (fields, message) => console.error(message, fields),
  child: () => LOG,
};
const METRICS: Metrics = {
  increment: () => {},
  gauge: () => {},
  timing: () => {},
  counters: () => ({}),
  close: () => Promise.resolve(),
};

/** Timeout of `waitUntil`, for conditions that hold within about two seconds on an idle machine. */
const WAIT_TIMEOUT_MS = 20_000;

/** Timeouts of a placement. */
export const TIMEOUTS = { answerMs: 500, waitMs: 5_000 };

/** Loopback address that is specific to this process, so that parallel tests share no ports. */
const IP = `127.1.${process.pid >> 8 & 0xff}.${process.pid & 0xff}`;

let nextPort = 20_000;

function parseText(value: unknown): string {
  if (typeof value !== "string") throw new DecodeError("Value is no text");
  return value;
}

/** Creates the entry of a host without starting it. */
export function makeEntry(index: number): HostEntry {
  return {
    host: `h${index}`,
    linkAddress: `${IP}:${nextPort++}`,
    callerAddress: `h${index}:80`,
    dataCentre: `dc${index % 2}`,
    weight: 0.5,
    incarnation: String(nextPort),
  };
}

/** Starts a host, which is killed at the end of the test. */
export async function startHost(
  t: ExecutionContext,
  store: MemoryStore,
  entry: HostEntry,
  currentReports: () => string[] = () => [],
  onChange: (table: Table, fleet: TestFleet) => void = () => {},
): Promise<TestHost> {
  const reports: string[] = [];
  const facts = new Set<unknown>();
  const addFact = (fact: unknown) => {
    if (facts.has(fact)) return;
    facts.add(fact);
    fleet.sendGossip([fact]);
  };
  let lateCount = 0;
  const tasks = createTaskGroup({ onError: (name, err) => t.log(name, err) });
  const fleet: TestFleet = createFleet({
    self: entry,
    store: store.storeFor(entry.host),
    scheduler: {
      place: (host, job) => {
        const decision = `${job} of ${host} placed by ${entry.host}`;
        const isOwn = host === entry.host;
        if (job.startsWith("late once")) {
          reports.push(`asked late once by ${host}`);
          const isFirst = !isOwn && lateCount++ === 0;
          // Neither timer holds the process, and no test takes that long.
          return isOwn || isFirst ? wait(60_000, decision, { ref: false }) : decision;
        }
        return (async () => {
          if (job === "long" || job === "slow") await wait(1_000);
          if (job === "own" && isOwn) await wait(3_000);
          return decision;
        })();
      },
      report: (host, report) => void reports.push(`${host}: ${report}`),
      forget: (host) => void reports.push(`${host} left`),
    },
    currentReports,
    gossip: { list: () => [...facts], receive: (items) => items.forEach(addFact) },
    parsers: { parseJob: parseText, parseDecision: parseText, parseReport: parseText },
    checkRow: (_table, row) => row,
    createCancelReport: (job) => `cancelled ${job}`,
    ageJob: (job, waitedMs) => waitedMs < 500 ? job : `${job}, late`,
    onChange: (table) => onChange(table, fleet),
    clock: createClock(),
    random: Math.random,
    log: LOG,
    metrics: METRICS,
    tasks,
  });
  await fleet.start();
  const kill = async () => {
    fleet.stop();
    await tasks.stop();
  };
  t.teardown(kill);
  return { entry, fleet, reports, facts, addFact, kill };
}

/** Starts hosts, waits until they are linked, and returns them by their roles. */
export async function startHosts(t: ExecutionContext, count: number) {
  const store = createMemoryStore();
  const entries = Array.from({ length: count }, (_, index) => makeEntry(index));
  const hosts = await Promise.all(entries.map((entry) => startHost(t, store, entry)));
  await waitUntil(() => hosts.every(({ fleet }) => fleet.liveHosts().length === count));
  const [first, second] = chooseHubs(entries);
  const hub = hosts.find(({ entry }) => entry === first);
  const standby = hosts.find(({ entry }) => entry === second);
  const members = hosts.filter((host) => host !== hub && host !== standby);
  if (hub === undefined || standby === undefined) throw new Error("No hubs");
  return { store, hosts, hub, standby, members };
}

/** Waits until a condition holds. */
export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
  const clock = createClock();
  const endMs = clock.nowMs() + WAIT_TIMEOUT_MS;
  while (!await condition()) {
    if (clock.nowMs() > endMs) throw new Error("Condition did not hold in time");
    await wait(10);
  }
}

/** Keys of the servers that a host knows of. */
export const serverKeysOf = ({ fleet }: TestHost) =>
  fleet.rows(TABLE.SERVERS).map(({ key }) => key);
