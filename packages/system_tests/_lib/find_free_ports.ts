import { createServer } from "node:net";
import type { Server } from "node:net";

/** Test ports lie below the range that Linux uses for outgoing connections. */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_000;

/** Ports per test process. The process listens on the first one to reserve the range. */
const PORTS_PER_PROCESS = 250;

const RANGE_COUNT = Math.floor((LAST_PORT - FIRST_PORT) / PORTS_PER_PROCESS);

let range: Promise<{ next: number; last: number }> | undefined;

/**
 * Finds free ports on the loopback address.
 *
 * Test files run in parallel processes, and a port is used some time after it was found. Each process
 * therefore takes its ports from its own range.
 *
 * @param count number of ports
 * @returns the ports
 * @throws when no range is free or the range of this process is used up
 */
export async function findFreePorts(count: number): Promise<number[]> {
  range ??= reserveRange();
  const reserved = await range;
  const ports: number[] = [];
  while (ports.length < count) {
    if (reserved.next > reserved.last) throw new Error(`No port is free up to ${reserved.last}`);
    const port = reserved.next++;
    const probe = await listen(port);
    if (probe === undefined) continue;
    await new Promise((resolve) => probe.close(resolve));
    ports.push(port);
  }
  return ports;
}

async function reserveRange(): Promise<{ next: number; last: number }> {
  for (let n = 0; n < RANGE_COUNT; n++) {
    const first = FIRST_PORT + ((process.pid + n) % RANGE_COUNT) * PORTS_PER_PROCESS;
    const guard = await listen(first);
    if (guard === undefined) continue;
    guard.unref();
    return { next: first + 1, last: first + PORTS_PER_PROCESS - 1 };
  }
  throw new Error("All ranges of test ports are in use");
}

function listen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(undefined));
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}
