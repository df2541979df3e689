import { isIP } from "node:net";

const MAX_PORT = 65_535;

/**
 * Reports whether a text is an IP address and a port that a connection can be opened to.
 *
 * @param text the text
 * @returns true for `IP:port` with a port from 1 to 65535
 *
 * @example
 * isAddress("10.0.0.1:8223"); // true
 * isAddress("10.0.0.1:99999"); // false
 */
export function isAddress(text: string): boolean {
  const separator = text.lastIndexOf(":");
  const portText = text.slice(separator + 1);
  const port = /^\d{1,5}$/.test(portText) ? Number(portText) : 0;
  return isIP(text.slice(0, separator)) !== 0 && port >= 1 && port <= MAX_PORT;
}
