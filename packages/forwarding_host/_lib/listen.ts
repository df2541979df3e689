import { once } from "node:events";
import type { Server } from "node:http";

/**
 * Makes a server listen.
 *
 * @param server the server
 * @param address IP address and port
 */
export async function listen(server: Server, address: string): Promise<void> {
  const separator = address.lastIndexOf(":");
  server.listen({
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
  });
  await once(server, "listening");
}
