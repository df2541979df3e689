import test from "ava";
import { assignPartitions } from "./_lib/assign_partitions.ts";
import { exampleDocument, exampleEngine } from "./_testing/example_document.ts";
import { listPools, parseDocument, PARTITION_MAX_SERVERS } from "./mod.ts";

test("pools are formed by model or service and data centre", (t) => {
  t.snapshot(listPools(parseDocument(exampleDocument())));
});

test("adding servers moves no other server and fills partitions with room first", (t) => {
  const document = exampleDocument(0);
  const poolIdByServer = () =>
    new Map(
      listPools(document).flatMap((pool) => pool.servers.map((id) => [id, pool.id] as const)),
    );
  document.backendServers = {};
  for (let n = 0; n < 100; n++) {
    const before = poolIdByServer();
    // The order of the names differs from the order in which the servers are added.
    document.backendServers[`e${(n * 37) % 100}`] = exampleEngine(n);
    document.backendServers = assignPartitions(document.backendServers);
    const after = poolIdByServer();
    for (const [id, pool] of before) t.is(after.get(id), pool);
  }
  const sizes = listPools(document).map((pool) => pool.servers.length);
  t.true(sizes.every((size) => size <= PARTITION_MAX_SERVERS));
  t.is(sizes.length, 7);

  const freed = listPools(document).find((pool) => pool.id === "gids@gent#2")!;
  delete document.backendServers[freed.servers[0]!];
  document.backendServers.next = exampleEngine(500);
  document.backendServers = assignPartitions(document.backendServers);
  t.is(poolIdByServer().get("next"), "gids@gent#2");
});
