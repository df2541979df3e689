/** Answers requests of the other process. */
export type IpcHandler = (args: never) => unknown;

/** The part of a process that messages go through. */
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

/** Creates request and response over the channel between a bench process and its parent. */
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
