import test from "ava";
import { EXIT_CODE, runCli } from "@jaypass/cli";
import { OPERATOR_TOKEN, startSystem } from "./mod.ts";

test("operators see all hosts and take a data centre out with one command", async (t) => {
  const system = await startSystem({ hosts: 3, engines: 2, dataCentres: ["gent", "brussel"] });
  t.teardown(() => system.stop());
  const run = async (...args: string[]) => {
    const output: string[] = [];
    const errors: string[] = [];
    const code = await runCli(args, {
      env: {
        JAYPASS_TOKEN: OPERATOR_TOKEN,
        JAYPASS_ADDRESS: system.hosts.map(({ url }) => url).join(","),
      },
      write: (text) => void output.push(text),
      writeError: (text) => void errors.push(text),
      readFile: () => Promise.reject(new Error("No file")),
    });
    return { code, output: output.join("\n"), errors: errors.join("\n") };
  };

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
