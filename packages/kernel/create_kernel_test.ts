import test from "ava";
import { createKernel, KernelError, serviceName } from "./mod.ts";
import type { AnyServiceDefinition } from "./mod.ts";

function recordingService(id: string, needs: string[], events: string[]): AnyServiceDefinition {
  return {
    name: serviceName<string>(id),
    needs: needs.map((need) => serviceName(need)),
    start: () => {
      events.push(`start ${id}`);
      return {
        service: id,
        stop: () => {
          events.push(`stop ${id}`);
          return Promise.resolve();
        },
      };
    },
  };
}

test("services start after their dependencies and stop before them", async (t) => {
  const events: string[] = [];
  const kernel = createKernel([
    recordingService("router", ["table", "peers"], events),
    recordingService("peers", ["table"], events),
    recordingService("table", [], events),
  ]);
  await kernel.start();
  await kernel.stop();
  t.snapshot(events);
});

test("a failed start stops the services that were already started", async (t) => {
  const events: string[] = [];
  const failing: AnyServiceDefinition = {
    name: serviceName("router"),
    needs: [serviceName("table")],
    start: () => Promise.reject(new Error("no port")),
  };
  const kernel = createKernel([failing, recordingService("table", [], events)]);
  await t.throwsAsync(() => kernel.start(), { instanceOf: KernelError });
  t.snapshot(events);
});

test("missing, duplicate and circular services are named in the error", (t) => {
  const messages = [
    [recordingService("a", ["b"], [])],
    [recordingService("a", [], []), recordingService("a", [], [])],
    [recordingService("a", ["b"], []), recordingService("b", ["a"], [])],
  ].map((definitions) => t.throws(() => createKernel(definitions))?.message);
  t.snapshot(messages);
});

test("looking up a service that is not declared as a dependency fails", async (t) => {
  const failing: AnyServiceDefinition = {
    name: serviceName("sneaky"),
    needs: [],
    start: (lookup) => ({ service: lookup(serviceName("table")) }),
  };
  const kernel = createKernel([recordingService("table", [], []), failing]);
  const err = await t.throwsAsync(() => kernel.start());
  t.regex((err?.cause as Error).message, /without declaring it/);
});
