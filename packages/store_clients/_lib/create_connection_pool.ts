import { Pool } from "undici";
import { CONNECT_TIMEOUT_MS, IDLE_TIMEOUT_MS, MAX_CONNECTIONS } from "../constants.ts";

/**
 * Creates a pool of connections that can be replaced together.
 *
 * When one connection stops responding, others on the same network path have often failed as well,
 * so a timeout replaces all of them instead of trying them one by one.
 */
export function createConnectionPool(baseUrl: string) {
  const open = () =>
    new Pool(new URL(baseUrl).origin, {
      connections: MAX_CONNECTIONS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  let pool = open();
  return {
    current: () => pool,
    /** Opens new connections unless another call already replaced those of `used`. */
    replace(used: Pool): boolean {
      if (used !== pool) return false;
      pool = open();
      used.close().catch(() => {});
      return true;
    },
    close: () => pool.destroy(),
  };
}
