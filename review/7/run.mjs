// All machines are stopped in turn at short intervals, while they answer, and started again. The last one takes a request
// later than three seconds after its SIGTERM; it must not cut it off.
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import {
  buildConfiguration, call, createRecord, nowMs, promptHeaders, sleep, startEngine, startHost,
  startStore, waitUntilReady,
} from "../lib-2/stand_ins.mjs";

const IS_TROUBLE = process.env.TROUBLE !== "0";
const record = createRecord(
  join(dirname(fileURLToPath(import.meta.url)), process.env.REC ?? "record.txt"),
);

const ENGINE_COUNT = 2;
/** Stops of all machines, the time between two machines, and the time from SIGTERM to SIGKILL. */
const ROUNDS = 4;
const GAP_MS = 850;
const GRACE_S = 8;
/** Time from the SIGTERM of the last machine to the request; the rule excuses up to 3,000 ms. */
const SENT_AFTER_MS = 3_080;
const PROMPT_TOKENS = 135_000;
const ANSWER_TOKENS = 1_000;
const DEADLINE_MS = 15_000;
/** Answers that the other machines pass on when they are stopped, and the time before the stop. */
const STREAM_TOKENS = 3_600;
const BUSY_MS = 150;
/** Time of a pass beside that prompt: 34 steps of 1.31 ms and 0.00213 ms for each 1,000 tokens. */
const EVENT_MS = 55;
/** Silence of a sound engine in the midst of its answer. */
const SILENCE_MS = 1_000;
const CALM_MS = 6_000;

async function main() {
  const store = await startStore();
  store.write("op", "config", buildConfiguration({ slots: 16 }));
  const zones = ["zone-a", "zone-b", "zone-c"];
  const engines = [];
  for (let at = 0; at < ENGINE_COUNT; at++) {
    engines.push(await startEngine({
      store, id: `i-model-${at}`, service: "model", zone: zones[at % 3], slots: 16,
      pairsPerM: 0.162, eventMs: EVENT_MS, silenceMs: (attempt) => attempt.startsWith("audit") ? SILENCE_MS : 0,
      onRun: ({ id, attempt }) => record(`${id} begins to answer ${attempt}`),
      onEnd: ({ id, attempt, isWhole }) =>
        record(`${id} ${isWhole ? "has answered" : "was left by"} ${attempt}`),
    }));
  }
  const machines = zones.map((zone, at) => ({ zone, number: at + 1, host: undefined }));
  const start = (machine) => {
    machine.host = startHost({ number: machine.number, zone: machine.zone, store, graceS: GRACE_S });
  };
  machines.forEach(start);
  let isOver = false;
  const end = async () => {
    isOver = true;
    await Promise.all(machines.map(({ host }) => host.end()));
    for (const engine of engines) engine.close();
    store.close();
  };
  /** Stops a machine, ends it at the end of its grace period, and starts it again. */
  const stop = async (machine) => {
    const { host } = machine;
    if (!IS_TROUBLE) return;
    const stoppedMs = nowMs();
    record(`${host.name} gets SIGTERM`);
    host.child.kill("SIGTERM");
    const timer = setTimeout(() => {
      record(`${host.name} gets SIGKILL`);
      host.child.kill("SIGKILL");
    }, GRACE_S * 1_000);
    await host.exited;
    clearTimeout(timer);
    record(`${host.name} has ended after ${Math.round(nowMs() - stoppedMs)} ms`);
    await host.end();
    if (!isOver) start(machine);
  };
  const sendStream = async (host, round) => {
    const answer = await call({
      address: host.address, path: `/review/${round}`, body: "question", timeoutMs: 10_000,
      headers: promptHeaders({ id: `review-${host.name}-${round}`, promptTokens: 5_000,
        answerTokens: STREAM_TOKENS, deadlineMs: 10_000 }),
    });
    return `${answer.status} ${answer.isComplete ? "whole" : "not whole"}`;
  };
  try {
    await waitUntilReady(machines.map(({ host }) => host));
    await sleep(5_000);
    let cut = 0;
    for (let round = 0; round < ROUNDS; round++) {
      const stops = [];
      const streams = [];
      for (const machine of machines) {
        if (stops.length > 0) await sleep(GAP_MS);
        // Each machine is stopped while it answers a request.
        if (machine !== machines.at(-1)) streams.push(sendStream(machine.host, round));
        await sleep(BUSY_MS);
        stops.push(stop(machine));
      }
      const { host } = machines.at(-1);
      await sleep(SENT_AFTER_MS);
      const id = `audit-${round}`;
      const answer = await call({
        address: host.address, path: `/audit/${round}`, body: "question", timeoutMs: DEADLINE_MS,
        headers: promptHeaders({ id, promptTokens: PROMPT_TOKENS, answerTokens: ANSWER_TOKENS,
          deadlineMs: DEADLINE_MS }),
      });
      const tookMs = Math.round(answer.endMs - answer.sentMs);
      const how = answer.isComplete ? "whole" : "not whole";
      record(`${id} at ${host.name}, sent ${SENT_AFTER_MS} ms after its SIGTERM: ` +
        `${answer.status}, ${how}, after ${tookMs} ms`);
      const isPastTimeout = tookMs >= DEADLINE_MS;
      if (!answer.isComplete && !isPastTimeout) cut += 1;
      record(`streams that were in progress at the stops: ${await Promise.all(streams)}`);
      await Promise.all(stops);
      await waitUntilReady(machines.map((machine) => machine.host));
      await sleep(CALM_MS);
    }
    record(`requests cut off: ${cut}`);
    await end();
    return cut > 0 ? 1 : 0;
  } catch (err) {
    record(`cannot run: ${err.stack}`);
    await end();
    return 2;
  }
}

process.exit(await main());
