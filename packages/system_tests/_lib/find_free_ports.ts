import { createServer } from "node:net";

/** Below the range from which Linux takes ports for outgoing connections. */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_000;

/** Ports reserved for each test process, so that parallel test files do not meet. */
const PORTS_OF_PROCESS = 500;

let next = FIRST_PORT +
  (process.pid * PORTS_OF_PROCESS) % (LAST_PORT - FIRST_PORT - PORTS_OF_PROCESS);

/**
 * Finds ports on the loopback address that nothing listens on.
 *
 * @param count how many
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = next++;
    if (next > LAST_PORT) next = FIRST_PORT;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
