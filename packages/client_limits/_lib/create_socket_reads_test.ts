import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { createSocketReads } from "./create_socket_reads.ts";

// The method of the stream reads once more, up to 64 KB on each connection that nobody counts.
test("a paused socket reads nothing more, and all that was sent once it reads on", async (t) => {
  const server = createServer().listen(0, "127.0.0.1");
  t.teardown(() => server.close());
  await once(server, "listening");
  const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
  t.teardown(() => client.destroy());
  const [socket] = await once(server, "connection") as [Socket];
  t.teardown(() => socket.destroy());
  let bytes = 0;
  socket.on("data", (piece: Buffer) => bytes += piece.length);
  const reads = createSocketReads(socket);
  client.write("first");
  while (bytes === 0) await wait(5);
  reads.pause();
  client.write("x".repeat(100_000));
  await wait(100);
  t.deepEqual([bytes, socket.bytesRead, socket.readableLength], [5, 5, 0]);
  reads.resume();
  client.end("last");
  await once(socket, "end");
  t.is(bytes, 100_009);
});
