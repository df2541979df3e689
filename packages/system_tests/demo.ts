import { createCaller } from "./create_caller.ts";
import type { CallerOutcome } from "./create_caller.ts";
import { startSystem } from "./start_system.ts";

/** Bytes per token of the demo model. */
const BYTES_PER_TOKEN = 4;

function buildPrompt(tokens: number): string {
  return "What is in gallery 7? ".repeat(Math.ceil(tokens * BYTES_PER_TOKEN / 22));
}

function describe(name: string, host: string, outcome: CallerOutcome): string {
  const first = outcome.firstTokenMs === undefined
    ? ""
    : `, first token after ${outcome.firstTokenMs.toFixed(1)} ms`;
  const result = outcome.isComplete
    ? "complete answer"
    : `failed: ${JSON.stringify(outcome.error ?? outcome.body)}`;
  const what = outcome.body ?? `${outcome.tokens.length} tokens`;
  return `${name}: ${result} from ${host} (${what})${first}, ${outcome.totalMs.toFixed(1)} ms`;
}

console.log("Starting 3 entry hosts, 2 engines, 1 booking service and the platform stand-in ...");
const system = await startSystem({ hosts: 3, engines: 2, services: 1 });
const caller = createCaller("school");
let isSuccessful = true;
try {
  const addresses = await caller.fetchAddresses(system.hosts[0]!.url);
  console.log(`Addresses: ${addresses.map((address) => address.url).join(", ")}`);
  const url = addresses[0]!.url;
  const host = system.hosts.find((candidate) => candidate.url === url)!.id;
  const runs: [string, Promise<CallerOutcome>][] = [
    ["Short prompt (1,000 tokens)", caller.complete(url, buildPrompt(1_000), { maxTokens: 16 })],
    ["Long prompt (200,000 tokens)", caller.complete(url, buildPrompt(200_000), { maxTokens: 16 })],
    ["Booking", caller.call(url, "book", { key: "family-12", body: '{"spot":7}' })],
  ];
  for (const [name, run] of runs) {
    const outcome = await run;
    isSuccessful &&= outcome.isComplete;
    console.log(describe(name, host, outcome));
  }
  const again = await caller.call(addresses.at(-1)!.url, "book", {
    key: "family-12",
    body: '{"spot":7}',
  });
  isSuccessful &&= again.isComplete && again.replayed === true;
  console.log(
    describe("Repeated booking", "another host", again) +
      `, replayed from the stored answer: ${again.replayed}`,
  );
} finally {
  await caller.close();
  await system.stop();
}
process.exitCode = isSuccessful ? 0 : 1;
