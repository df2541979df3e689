import test from "ava";
import { EXIT_CODE } from "@jaypass/cli";
import { startSystem } from "./mod.ts";
import { runOperatorCommand } from "./run_operator_command.ts";

test("operators list all hosts and take a data centre out of service with one command", async (t) => {
  const system = await startSystem({ hosts: 3, engines: 2, dataCentres: ["gent", "brussel"] });
  t.teardown(() => system.stop());
  const run = (...args: string[]) => runOperatorCommand(system, args);

  const hosts = await run("hosts", "--json");
  t.is(hosts.code, EXIT_CODE.OK, hosts.errors);
  t.is(JSON.parse(hosts.output).hosts.length, 3);
  const { output } = await run("engines", "--json");
  t.is(JSON.parse(output).engines.length, 3);
  t.is(JSON.parse((await run("status", "--json")).output).state, "serving");

  const out = await run("data-centre", "out", "gent", "--why", "flood", "--wait");
  t.is(out.code, EXIT_CODE.OK, out.errors);
  t.regex(out.output, /dataCentres\.gent\.state: "in" -> "out"/);
  t.regex(out.errors, /3 of 3 hosts at revision 2/);
  const history = await run("config", "history", "--limit", "1");
  t.regex(history.output, /revision 2 .* flood/);
  t.is((await run("quarantine", "list")).code, EXIT_CODE.OK);
  t.is((await run("calls", "unknown")).code, EXIT_CODE.OK);
  t.is((await run("request", "explain", "nothing")).code, EXIT_CODE.NOT_FOUND);
});
