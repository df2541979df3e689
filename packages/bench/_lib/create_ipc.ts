/** Handles a request of the other process and returns its result. */
export type IpcHandler = (args: never) => unknown;

/** Channel to the other process. */
export interface IpcPort {
  send(message: object): unknown;
  on(event: "message", listener: (message: unknown) => void): unknown;
}

interface Envelope {
  id: number;
  command?: string;
  args?: unknown;
  result?: unknown;
  error?: string;
}

/**
 * Adds requests with responses to the channel between a benchmark process and its parent.
 *
 * @param port channel to the other process
 * @param handlers handlers of the other process's requests, by command
 * @returns an object that sends requests
 */
export function createIpc(port: IpcPort, handlers: Record<string, IpcHandler>) {
  const waiting = new Map<number, { resolve: (v: never) => void; reject: (err: Error) => void }>();
  let lastId = 0;
  port.on("message", async (message) => {
    const { id, command, args, result, error } = message as Envelope;
    if (command === undefined) {
      const call = waiting.get(id);
      waiting.delete(id);
      if (error === undefined) call?.resolve(result as never);
      else call?.reject(new Error(error));
      return;
    }
    try {
      port.send({ id, result: await handlers[command]!(args as never) });
    } catch (err) {
      port.send({ id, error: String(err) });
    }
  });
  return {
    call<T>(command: string, args: unknown = {}): Promise<T> {
      const id = ++lastId;
      return new Promise<T>((resolve, reject) => {
        waiting.set(id, { resolve, reject });
        port.send({ id, command, args });
      });
    },
  };
}
