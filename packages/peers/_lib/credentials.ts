import { ChannelCredentials, ServerCredentials } from "@grpc/grpc-js";
import type { Socket } from "node:net";
import type { PeerTls } from "../types.ts";

/**
 * Accepts any server name, because hosts are addressed by IP address and every certificate of the
 * CA belongs to a host.
 */
const acceptAnyName = () => undefined;

/**
 * Creates the credentials of a caller.
 *
 * The gRPC library has no timeout for the TLS and HTTP/2 handshakes and leaks the socket when its
 * channel is closed during them. Therefore `onSocket` receives each new socket, so that the caller
 * can destroy it.
 */
export function clientCredentials(
  tls: PeerTls,
  onSocket: (socket: Socket) => void,
): ChannelCredentials {
  const credentials = createCredentials(tls);
  const createConnector = credentials._createSecureConnector.bind(credentials);
  credentials._createSecureConnector = (...args) => {
    const connector = createConnector(...args);
    const connect = connector.connect.bind(connector);
    connector.connect = (socket) => {
      onSocket(socket);
      return connect(socket);
    };
    return connector;
  };
  return credentials;
}

function createCredentials(tls: PeerTls): ChannelCredentials {
  if (tls === "off") return ChannelCredentials.createInsecure();
  const { ca, cert, key } = tls;
  return ChannelCredentials.createSsl(Buffer.from(ca), Buffer.from(key), Buffer.from(cert), {
    checkServerIdentity: acceptAnyName,
  });
}

/** Creates the credentials of a server, which rejects callers without a certificate of the CA. */
export function serverCredentials(tls: PeerTls): ServerCredentials {
  if (tls === "off") return ServerCredentials.createInsecure();
  const pair = { cert_chain: Buffer.from(tls.cert), private_key: Buffer.from(tls.key) };
  return ServerCredentials.createSsl(Buffer.from(tls.ca), [pair], true);
}
