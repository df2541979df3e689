import { readFileSync } from "node:fs";
import type { PeerTls } from "@jaypass/peers";
import { SettingsError } from "./errors.ts";
import type { Settings } from "./settings.ts";

/**
 * Reads the TLS certificates and key for connections between hosts.
 *
 * @param tls file names, or `"off"`
 * @returns their contents in PEM, or `"off"`
 * @throws {SettingsError} naming the file that cannot be read
 *
 * @example
 * const tls = readTls(settings.tls);
 */
export function readTls(tls: Settings["tls"]): PeerTls {
  if (tls === "off") return "off";
  const read = (path: string, file: string) => {
    try {
      return readFileSync(file, "utf8");
    } catch (err) {
      throw new SettingsError(`File "${file}" of setting "${path}" cannot be read`, { cause: err });
    }
  };
  return {
    ca: read("tls.caFile", tls.caFile),
    cert: read("tls.certFile", tls.certFile),
    key: read("tls.keyFile", tls.keyFile),
  };
}
