import { once } from "node:events";
import type { Server } from "node:http";

/**
 * Starts a server and waits until it listens.
 *
 * @param server the server
 * @param address IP address and port, separated by a colon
 */
export async function listen(server: Server, address: string): Promise<void> {
  const separator = address.lastIndexOf(":");
  server.listen({
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
  });
  await once(server, "listening");
}
