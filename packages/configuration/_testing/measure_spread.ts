/**
 * Measures the spread of configuration changes among hosts in one process.
 *
 * Usage: `node --import=tsx packages/configuration/_testing/measure_spread.ts [SECONDS]`
 *
 * @module
 */
import { sleep } from "@jaypass/kernel";
import { createTestAdministration } from "./create_test_administration.ts";
import { createTestHosts, type TestHost } from "./create_test_hosts.ts";
import { exampleDocument, exampleWorkspace } from "./example_document.ts";

/** One line of the table. */
interface Cell {
  hosts: number;
  workspaces: number;
  changesPerSecond: number;
  pollsPerSecond: number;
  pollBytes: number;
  changeReadsPerChange: number;
  peerReadsPerChange: number;
  storeBytesPerChange: number;
  spreadMedianMs: number;
  spreadMaxMs: number;
}

const SECONDS = Number(process.argv[2] ?? 8);

function sumOf(hosts: readonly TestHost[], counter: string): number {
  const name = `configuration.${counter}`;
  return hosts.reduce((sum, { metrics }) => sum + (metrics.counters()[name] ?? 0), 0);
}

async function measure(
  count: number,
  workspaces: number,
  options: { changesPerSecond: number; isPeerless: boolean },
): Promise<Cell> {
  const { changesPerSecond, isPeerless } = options;
  const system = createTestHosts(count, exampleDocument(workspaces));
  const { hosts } = system;
  const ready = AbortSignal.timeout(120_000);
  for (const { configuration } of hosts) await configuration.ready(ready);
  if (isPeerless) { for (const { network } of hosts) network.setIsolated(true); }
  // Polls of hosts that loaded the document together are in step at first.
  await sleep(4_000);

  const storedAt = new Map<number, number>();
  const lastAt = new Map<number, number>();
  for (const { configuration } of hosts) {
    configuration.onChange((_document, revision) => {
      lastAt.set(revision, performance.now());
      if (!storedAt.has(revision)) storedAt.set(revision, performance.now());
    });
  }
  const counters = ["poll_reads", "poll_bytes", "change_reads", "peer_reads", "change_bytes"];
  const before = counters.map((counter) => sumOf(hosts, counter));
  const admin = await createTestAdministration(hosts[0]!);
  const startMs = performance.now();
  let changes = 0;
  while (performance.now() < startMs + SECONDS * 1_000) {
    await sleep(changesPerSecond === 0 ? 100 : 1_000 / changesPerSecond);
    if (changesPerSecond === 0) continue;
    const entry = { ...exampleWorkspace("museum-0"), maxConcurrent: 1 + changes % 9 };
    await admin.post("/admin/v1/config/apply", {
      changes: [{ section: "workspaces", entries: { "museum-0": entry } }],
      why: "measurement",
    });
    changes++;
  }
  const seconds = (performance.now() - startMs) / 1_000;
  await sleep(changesPerSecond === 0 ? 0 : 3_000);
  const elapsed = (performance.now() - startMs) / 1_000;
  const [polls, pollBytes, changeReads, peerReads, changeBytes] = counters
    .map((counter, n) => sumOf(hosts, counter) - before[n]!) as [
      number,
      number,
      number,
      number,
      number,
    ];
  const spread = [...storedAt].map(([revision, at]) => lastAt.get(revision)! - at)
    .sort((a, b) => a - b);
  if (hosts.some(({ configuration }) => configuration.revision() !== 1 + changes)) {
    throw new Error("A host is behind");
  }
  await admin.close();
  await system.stop();
  const round = (value: number, digits = 1) => Number(value.toFixed(digits));
  return {
    hosts: count,
    workspaces,
    changesPerSecond: round(changes / seconds, 2),
    pollsPerSecond: round(polls / elapsed),
    pollBytes: round(pollBytes / polls),
    changeReadsPerChange: round(changes === 0 ? 0 : changeReads / changes),
    peerReadsPerChange: round(changes === 0 ? 0 : peerReads / changes),
    storeBytesPerChange: round(changes === 0 ? 0 : changeBytes / changes, 0),
    spreadMedianMs: round(spread[Math.floor(spread.length / 2)] ?? 0),
    spreadMaxMs: round(spread.at(-1) ?? 0),
  };
}

const RATES = [0, 1, 4];

async function print(
  hosts: number,
  workspaces: number,
  options: { changesPerSecond: number; isPeerless?: boolean },
) {
  const { changesPerSecond, isPeerless = false } = options;
  const cell = await measure(hosts, workspaces, { changesPerSecond, isPeerless });
  console.log(JSON.stringify({ peers: !isPeerless, ...cell }));
}

for (const hosts of [18, 60, 340]) {
  for (const changesPerSecond of RATES) await print(hosts, 10, { changesPerSecond });
  // All hosts share one process, which 340 copies of a large document keep busy for seconds.
  await print(hosts, 6_400, { changesPerSecond: hosts < 100 ? 1 : 0.25 });
  await print(hosts, 10, { changesPerSecond: 1, isPeerless: true });
}
