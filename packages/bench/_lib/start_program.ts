import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

/** A stand-in that runs as a process of its own. */
export interface RunningProgram {
  port: number;
  pid: number;
  stop(): Promise<void>;
}

/** Starts a bundled program with one JSON argument and waits for its port. */
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
    child.once("exit", (code) => reject(new Error(`Program "${name}" ended with "${code}"`)));
    if (!child.stdout) return reject(new Error(`Program "${name}" has no output`));
    createInterface(child.stdout).once("line", (line) => {
      resolve((JSON.parse(line) as { port: number }).port);
    });
  });
}
