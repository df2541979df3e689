import { createClock, createMetrics, sleep } from "@jaypass/kernel";
import type { Logger } from "@jaypass/kernel";
import { createCallLedger } from "@jaypass/idempotency";
import { createLease, createLeaseRenewer } from "@jaypass/leases";
import { createObjectClient, createTableClient } from "@jaypass/store_clients";
import { createPlatformStandIn } from "@jaypass/stand_ins";

// Measures the store requests that leases cause at target scale and those that each call causes.
// The optional argument is the duration in milliseconds. See docs/measurements/store.md.
const HOSTS = 340;
const LEASES = 116;
const CANDIDATES = 3;
const CALLS = 1_000;
const SETTLE_MS = 20_000;
const MEASURE_MS = Number(process.argv[2] ?? 60_000);

const log = { info() {}, warn() {}, error() {}, debug() {} } as unknown as Logger;
const metrics = createMetrics({ tags: {} });
const clock = createClock();
const platform = await createPlatformStandIn({ readsPerSecond: 1e6, writesPerSecond: 1e6 });
const common = { clock, random: Math.random, metrics, log };
const clientOf = (client: string) => ({ ...common, baseUrl: platform.url, client });
const round = (value: number) => Math.round(value * 100) / 100;

const closers = Array.from({ length: HOSTS }, (_, host) => {
  const self = { host: `h${host}`, incarnation: "1", address: `h${host}` };
  const table = createTableClient(clientOf(self.host));
  const renewer = createLeaseRenewer({ ...common, table, self });
  for (let index = 0; index < LEASES; index++) {
    const distance = (host - index * 3 + HOSTS * LEASES) % HOSTS;
    createLease({
      ...{ ...common, name: `pool/model-${index}@data-centre`, table, self, renewer },
      isCandidate: () => distance < CANDIDATES,
      askHolder: () => Promise.resolve("unknown"),
      onChange: () => {},
    });
  }
  return async () => {
    await renewer.stop();
    await table.close();
  };
});
await sleep(SETTLE_MS);
platform.resetCounts();
await sleep(MEASURE_MS);
const { readsPerSecond, writesPerSecond, rowsWritten, seconds, conflicts } = platform.counts();
console.log(JSON.stringify({
  leases: LEASES,
  hosts: HOSTS,
  readsPerSecond: round(readsPerSecond),
  readsPerSecondAndHost: round(readsPerSecond / HOSTS),
  writesPerSecond: round(writesPerSecond),
  rowsWrittenPerSecond: round(rowsWritten / seconds),
  conflicts,
}));
await Promise.all(closers.map((close) => close()));

const ledger = createCallLedger({
  ...common,
  table: createTableClient(clientOf("c1")),
  objects: createObjectClient(clientOf("c1")),
  self: { host: "c1", incarnation: "1", address: "c1" },
  askHost: () => Promise.resolve("unreachable"),
  isHostGone: () => false,
});
const runAll = async () => {
  platform.resetCounts();
  for (let index = 0; index < CALLS; index++) {
    const result = { status: 200, contentType: "text/plain", body: new Uint8Array(100) };
    const send = () => Promise.resolve(result);
    await ledger.run({
      ...{ workspace: "w", service: "s", operation: "book", key: `k${index}`, bodyHash: "b" },
      ...{ requestId: `r${index}`, remainingMs: 10_000, resolution: "none" },
      prepare: () => Promise.resolve({ send, abandon: () => {} }),
    }, new AbortController().signal);
  }
  const { reads, writes, rowsWritten } = platform.counts();
  return {
    readsPerCall: round(reads / CALLS),
    writesPerCall: round(writes / CALLS),
    rowsWrittenPerCall: round(rowsWritten / CALLS),
  };
};
console.log(JSON.stringify({ calls: CALLS, first: await runAll(), repeated: await runAll() }));
process.exit(0);
