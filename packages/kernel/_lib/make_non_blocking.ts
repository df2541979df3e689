import { fstatSync } from "node:fs";
import { Socket } from "node:net";

/**
 * Has writes to a pipe or a socket fail with `EAGAIN`, rather than wait, while its reader is behind.
 *
 * @param fd file descriptor
 * @returns false if the descriptor is neither, or cannot be used in this way; its writes may block
 */
export function makeNonBlocking(fd: number): boolean {
  try {
    const stats = fstatSync(fd);
    if (!stats.isFIFO() && !stats.isSocket()) return false;
    // Node.js has no other call for this. The socket is neither read nor written, and stays open.
    new Socket({ fd, readable: false, writable: true }).unref();
    return true;
  } catch {
    return false;
  }
}
