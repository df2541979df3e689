import type { PeerTls } from "../types.ts";

/** Bytes that a call sends in addition to its bodies. */
export interface CallOverhead {
  /** Headers and framing of a request. */
  requestBytes: number;
  /** Headers and trailers of a response. */
  responseBytes: number;
  /** Framing of each message of a response. */
  messageBytes: number;
}

// Mean bytes on the socket over 1,000 calls on a connection whose HPACK header table is filled. TLS
// adds 22 bytes to each record. TCP and IP headers and keep-alive pings (10 bytes/s in each
// direction of a connection, 23 with TLS) are not counted.
const PLAIN: CallOverhead = { requestBytes: 55, responseBytes: 25, messageBytes: 14 };
const TLS: CallOverhead = { requestBytes: 77, responseBytes: 47, messageBytes: 36 };

/** Returns the overhead of calls with or without TLS. */
export function getCallOverhead(tls: PeerTls): CallOverhead {
  return tls === "off" ? PLAIN : TLS;
}
