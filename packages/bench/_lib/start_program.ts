import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

/** A stand-in that runs in its own process. */
export interface RunningProgram {
  port: number;
  pid: number;
  stop(): Promise<void>;
}

/**
 * Starts a bundled program and waits until it prints its port.
 *
 * @param name name of the program in `scripts/programs.json`
 * @param options options that the program receives as one JSON argument
 * @throws when the program ends before it prints its port
 */
export async function startProgram(name: string, options: object): Promise<RunningProgram> {
  const bundle = new URL(`./${name}.js`, import.meta.url);
  const child = spawn(process.execPath, [fileURLToPath(bundle), JSON.stringify(options)], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  const port = await readPort(child, name);
  const exited = new Promise<void>((resolve) => child.once("exit", () => resolve()));
  return {
    port,
    pid: child.pid ?? 0,
    async stop() {
      child.kill("SIGKILL");
      await exited;
    },
  };
}

function readPort(child: ChildProcess, name: string): Promise<number> {
  return new Promise((resolve, reject) => {
    child.once("error", reject);
    child.once(
      "exit",
      (code) =>
        reject(new Error(`Program "${name}" ended with code "${code}" before it printed its port`)),
    );
    if (!child.stdout) return reject(new Error(`Program "${name}" has no standard output`));
    createInterface(child.stdout).once("line", (line) => {
      resolve((JSON.parse(line) as { port: number }).port);
    });
  });
}
