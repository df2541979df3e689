import { runCli } from "@jaypass/cli";
import { OPERATOR_TOKEN } from "./start_system.ts";
import type { System } from "./start_system.ts";

/** Result of an operator command. */
export interface CommandOutcome {
  code: number;
  output: string;
  errors: string;
}

/**
 * Runs the `jaypass` command line against the hosts of a system.
 *
 * @param system the running system
 * @param args arguments after `jaypass`
 * @returns exit code and output
 */
export async function runOperatorCommand(
  system: System,
  args: readonly string[],
): Promise<CommandOutcome> {
  const output: string[] = [];
  const errors: string[] = [];
  const code = await runCli([...args], {
    env: {
      JAYPASS_TOKEN: OPERATOR_TOKEN,
      JAYPASS_ADDRESS: system.hosts.map(({ url }) => url).join(","),
    },
    write: (text) => void output.push(text),
    writeError: (text) => void errors.push(text),
    readFile: () => Promise.reject(new Error("Reading files is not supported in system tests")),
  });
  return { code, output: output.join("\n"), errors: errors.join("\n") };
}
