import { type ChannelOptions, Client, connectivityState } from "@grpc/grpc-js";
import type { Socket } from "node:net";
import {
  CONNECT_TIMEOUT_MS,
  IDLE_CLOSE_MS,
  KEEPALIVE_TIME_MS,
  KEEPALIVE_TIMEOUT_MS,
  MAX_MESSAGE_BYTES,
} from "../constants.ts";
import { clientCredentials } from "./credentials.ts";
import type { PeerTls } from "../types.ts";

const CHANNEL_OPTIONS: ChannelOptions = {
  "grpc.keepalive_time_ms": KEEPALIVE_TIME_MS,
  "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
  "grpc.keepalive_permit_without_calls": 1,
  "grpc.enable_retries": 0,
  "grpc.service_config_disable_resolution": 1,
  "grpc.use_local_subchannel_pool": 1,
  "grpc.enable_http_proxy": 0,
  // TLS does not allow an IP address as server name; names are not verified (see credentials.ts).
  "grpc.ssl_target_name_override": "jaypass",
  "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
};

/** The connection to one peer address. */
export interface Connection {
  client: Client;
  /** Resolves when the connection is ready; rejects when it cannot be established. */
  ready(): Promise<void>;
  /** Marks the start of a call and returns the function that marks its end. */
  beginCall(): () => void;
  /** Closes the connection; calls on it end. */
  close(): void;
}

/** Options of {@linkcode createConnection}. */
export interface ConnectionOptions {
  tls: PeerTls;
  /** Time in milliseconds without calls after which the connection is closed. */
  idleCloseMs?: number;
  /** Called once when the connection is closed, also after a failure to connect or when idle. */
  onClosed: () => void;
}

/** Creates a connection to an address; it connects on first use. */
export function createConnection(address: string, options: ConnectionOptions): Connection {
  let socket: Socket | undefined;
  const credentials = clientCredentials(options.tls, (created) => {
    socket = created;
    // A socket that is created after the close would leak otherwise.
    if (closed) created.destroy();
  });
  const client = new Client(`ipv4:${address}`, credentials, CHANNEL_OPTIONS);
  const channel = client.getChannel();
  let connecting: Promise<void> | undefined;
  let active = 0;
  let closed = false;
  let idleTimer: NodeJS.Timeout | undefined;

  const close = () => {
    if (closed) return;
    closed = true;
    clearTimeout(idleTimer);
    if (channel.getConnectivityState(false) !== connectivityState.READY) socket?.destroy();
    client.close();
    options.onClosed();
  };

  const connect = () =>
    new Promise<void>((resolve, reject) => {
      const endMs = Date.now() + CONNECT_TIMEOUT_MS;
      const check = (timeout?: Error) => {
        // A failed channel is closed and the next call opens a new one. Otherwise a host that is
        // reachable again would have to wait for the back-off of the gRPC library.
        const fail = (message: string) => {
          reject(new Error(message, { cause: timeout }));
          close();
        };
        if (closed) return reject(new Error("Connection closed"));
        const state = channel.getConnectivityState(true);
        if (state === connectivityState.READY) return resolve();
        if (timeout) {
          return fail(
            `Connecting to "${address}" did not succeed within "${CONNECT_TIMEOUT_MS}" ms`,
          );
        }
        if (state === connectivityState.TRANSIENT_FAILURE) {
          return fail(`Connecting to "${address}" failed`);
        }
        channel.watchConnectivityState(state, endMs, check);
      };
      check();
    });

  return {
    client,
    ready() {
      if (!closed && channel.getConnectivityState(false) === connectivityState.READY) {
        return Promise.resolve();
      }
      connecting ??= connect().finally(() => connecting = undefined);
      return connecting;
    },
    beginCall() {
      active++;
      clearTimeout(idleTimer);
      return () => {
        active--;
        if (active > 0 || closed) return;
        idleTimer = setTimeout(close, options.idleCloseMs ?? IDLE_CLOSE_MS).unref();
      };
    },
    close,
  };
}
