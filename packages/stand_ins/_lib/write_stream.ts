import type { ServerResponse } from "node:http";
import type { EngineFaultState } from "../engine_types.ts";
import type { EngineJob, WireEvent } from "./engine_job.ts";

/** Position of the token, counted from 1, at which a stream fault is injected. */
const FAULT_AT_TOKEN = 2;

type StreamFault = "cross" | "duplicate" | "gap" | "cut" | "break" | "wrongTotal";

/** Options of {@linkcode writeStream}. */
export interface StreamWriteOptions {
  fromIndex: number;
  restartCount: number;
  keepAliveMs: number;
  faults: EngineFaultState;
  isSilent: () => boolean;
  /** Returns the last event of a job that has already ended. */
  endEvent: () => WireEvent;
}

/** Writes the events of a job to a response until it ends or the connection closes. */
export function writeStream(res: ServerResponse, job: EngineJob, options: StreamWriteOptions) {
  const { faults } = options;
  const fault = consumeStreamFault(faults);
  let tokens = 0;
  let isClosed = false;
  let lastWriteMs = 0;
  const write = (event: WireEvent) => {
    if (isClosed || options.isSilent()) return;
    lastWriteMs = performance.now();
    res.write(JSON.stringify(event) + "\n");
  };
  const close = () => {
    isClosed = true;
    clearInterval(keepAlive);
    job.listeners.delete(listen);
  };
  const finish = () => {
    if (isClosed || options.isSilent()) return;
    close();
    res.end();
  };
  const send = (event: WireEvent) => {
    if (isClosed) return;
    if (event.type === "token") {
      tokens += 1;
      const isFaultToken = tokens === FAULT_AT_TOKEN;
      if (isFaultToken && fault === "gap") return;
      if (isFaultToken && fault === "duplicate") write(event);
      if (isFaultToken && fault === "cross") event = { ...event, requestId: "another-request" };
      write(event);
      if (isFaultToken && fault === "cut") finish();
      if (isFaultToken && fault === "break") {
        close();
        res.socket?.resetAndDestroy();
      }
      return;
    }
    if (event.type === "end") {
      const extra = fault === "wrongTotal" ? 1 : 0;
      write({ ...event, totalTokens: event.totalTokens + extra });
      finish();
    } else if (event.type === "error") {
      write(event);
      finish();
    }
  };
  const listen = (event: WireEvent) => {
    if (faults.lateMs) setTimeout(() => send(event), faults.lateMs);
    else send(event);
  };
  const keepAlive = setInterval(() => {
    if (performance.now() - lastWriteMs < options.keepAliveMs / 2) return;
    const { requestId, computedTokens } = job;
    write({ type: "progress", requestId, computedTokens });
  }, options.keepAliveMs / 2);
  res.on("close", close);
  res.writeHead(200, { "content-type": "application/x-ndjson", "x-request-id": job.requestId });
  write({ type: "accepted", requestId: job.requestId, restartCount: options.restartCount });
  job.listeners.add(listen);
  for (const [offset, text] of job.tokens.entries()) {
    const index = job.firstIndex + offset;
    if (index < options.fromIndex) continue;
    listen({ type: "token", requestId: job.requestId, index, text });
  }
  if (job.state === "finished") listen(options.endEvent());
}

function consumeStreamFault(faults: EngineFaultState): StreamFault | undefined {
  const byName: [StreamFault, keyof EngineFaultState][] = [
    ["cross", "crossNext"],
    ["duplicate", "duplicateNext"],
    ["gap", "gapNext"],
    ["cut", "cutNext"],
    ["break", "breakNext"],
    ["wrongTotal", "wrongTotalNext"],
  ];
  for (const [fault, key] of byName) {
    const left = faults[key] as number | undefined;
    if (!left) continue;
    Object.assign(faults, { [key]: left - 1 });
    return fault;
  }
  return undefined;
}
