import { Client, Pool } from "undici";
import { CONNECT_TIMEOUT_MS, IDLE_CONNECTION_MS } from "../constants.ts";
import type { EngineClientOptions } from "../create_engine_client.ts";
import { EngineError } from "../errors.ts";
import type { EngineCallOptions, EngineStreamOptions } from "../types.ts";
import { type Exchange, type ExchangeRequest, openExchange } from "./open_exchange.ts";
import { crossedError } from "./read_answer.ts";

/** Limits of an exchange on a connection of {@linkcode createConnections}. */
export type ConnectionCallOptions =
  & EngineCallOptions
  & Partial<Pick<EngineStreamOptions, "idleTimeoutMs">>;

/** Creates the connections to one server: a keep-alive pool, and new connections on request. */
export function createConnections(url: string, options: EngineClientOptions) {
  const { clock, metrics } = options;
  const settings = {
    pipelining: 1,
    keepAliveTimeout: IDLE_CONNECTION_MS,
    keepAliveMaxTimeout: IDLE_CONNECTION_MS,
    // The exchange has timers of its own, which are more precise and cover the whole call.
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: { timeout: CONNECT_TIMEOUT_MS },
  };
  const pool = new Pool(url, settings);
  const count = (err: unknown) => {
    if (err instanceof EngineError) {
      metrics.increment("engine.error", { code: err.code, ran: err.ran });
    }
    return err;
  };
  const open = (req: ExchangeRequest, callOptions: ConnectionCallOptions) =>
    openExchange(pool, req, { clock, ...callOptions });
  const use = async <T>(exchange: Exchange, read: (exchange: Exchange) => Promise<T>) => {
    try {
      return await read(exchange);
    } catch (err) {
      throw count(err);
    }
  };
  return {
    /** Counts an `EngineError` by its code, and returns the error. */
    count,
    /** Starts an exchange on a keep-alive connection. */
    open,
    /** Runs a call with one answer on a keep-alive connection. */
    run: <T>(
      req: ExchangeRequest,
      callOptions: ConnectionCallOptions,
      read: (exchange: Exchange) => Promise<T>,
    ) => use(open(req, callOptions), read),
    /** Runs a call with one answer on a new connection, which is closed afterwards. */
    async runFresh<T>(
      req: ExchangeRequest,
      callOptions: ConnectionCallOptions,
      read: (exchange: Exchange) => Promise<T>,
    ) {
      const client = new Client(url, settings);
      try {
        return await use(openExchange(client, req, { clock, ...callOptions }), read);
      } finally {
        await client.destroy();
      }
    },
    /** Throws if an answer carries the id of another request or none. */
    checkId(exchange: Exchange, answeredId: string | string[] | undefined, requestId: string) {
      if (answeredId !== requestId) throw exchange.fail(crossedError(String(answeredId ?? "")));
    },
    close: () => pool.destroy(),
  };
}
