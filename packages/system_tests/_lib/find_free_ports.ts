import { createServer } from "node:net";
import type { Server } from "node:net";

/** Below the range from which Linux takes ports for outgoing connections. */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_000;

/** Ports of one test process. The first of them is held as a guard while the process runs. */
const PORTS_OF_PROCESS = 250;

const SLOTS = Math.floor((LAST_PORT - FIRST_PORT) / PORTS_OF_PROCESS);

let range: Promise<{ next: number; last: number }> | undefined;

/**
 * Finds ports on the loopback address that nothing listens on.
 *
 * Test files run in parallel processes and a port is used some time after it was found, so every
 * process takes its ports from a range of its own.
 *
 * @param count how many
 * @throws when the range of this process is used up
 */
export async function findFreePorts(count: number): Promise<number[]> {
  range ??= reserveRange();
  const own = await range;
  const ports: number[] = [];
  while (ports.length < count) {
    if (own.next > own.last) throw new Error(`No port is free up to ${own.last}`);
    const port = own.next++;
    const probe = await listen(port);
    if (probe === undefined) continue;
    await new Promise((resolve) => probe.close(resolve));
    ports.push(port);
  }
  return ports;
}

async function reserveRange(): Promise<{ next: number; last: number }> {
  for (let n = 0; n < SLOTS; n++) {
    const first = FIRST_PORT + ((process.pid + n) % SLOTS) * PORTS_OF_PROCESS;
    const guard = await listen(first);
    if (guard === undefined) continue;
    guard.unref();
    return { next: first + 1, last: first + PORTS_OF_PROCESS - 1 };
  }
  throw new Error("Every range of test ports is taken");
}

function listen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(undefined));
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}
