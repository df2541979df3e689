import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { join } from "node:path";
import { findDistFolder } from "./find_dist_folder.ts";

/** A running program of the workspace. */
export interface Program {
  name: string;
  pid: number;
  /** Sends a signal, for example `SIGKILL`, `SIGSTOP` or `SIGCONT`. */
  signal(signal: NodeJS.Signals): void;
  /** Resolves with the exit code, or with the name of the signal, when the process has ended. */
  exited: Promise<number | string>;
  /** Reports whether the process is still running. */
  isRunning(): boolean;
  /** Returns the last part of what the program wrote to standard error. */
  stderrTail(): string;
}

/** Number of characters of standard error that are kept for each program. */
const STDERR_TAIL_LENGTH = 64 * 1024;

/** Time within which a program must print its ready line. */
const READY_TIMEOUT_MS = 30_000;

/**
 * Starts a bundled program and waits for its ready line `{"port":N}`.
 *
 * @param name name in `scripts/programs.json`
 * @param args command line arguments
 * @param nodeArguments options of Node.js; source maps by default
 * @returns the program and the port that it printed
 * @throws when it ends, or prints no ready line within 30 s
 */
export async function spawnProgram(
  name: string,
  args: string[],
  nodeArguments: readonly string[] = ["--enable-source-maps"],
): Promise<{ program: Program; port: number }> {
  const file = join(findDistFolder(), `${name}.js`);
  const child = spawn(process.execPath, [...nodeArguments, file, ...args], {
    stdio: ["ignore", "pipe", "pipe"],
  });
  let stderr = "";
  child.stderr.on("data", (chunk: Buffer) => {
    stderr = (stderr + chunk.toString()).slice(-STDERR_TAIL_LENGTH);
  });
  const program = describeProgram(name, child, () => stderr);
  const port = await readReadyLine(child, program);
  return { program, port };
}

function describeProgram(name: string, child: ChildProcess, tail: () => string): Program {
  const exited = new Promise<number | string>((resolve) => {
    child.once("exit", (code, signal) => resolve(code ?? signal ?? "unknown"));
  });
  return {
    name,
    pid: child.pid!,
    signal: (signal) => void child.kill(signal),
    exited,
    isRunning: () => child.exitCode === null && child.signalCode === null,
    stderrTail: tail,
  };
}

function readReadyLine(child: ChildProcess, program: Program): Promise<number> {
  return new Promise((resolve, reject) => {
    let stdout = "";
    const fail = (why: string) => {
      child.kill("SIGKILL");
      reject(new Error(`Program "${program.name}" ${why}: ${program.stderrTail()}`));
    };
    const timer = setTimeout(() => fail("printed no ready line"), READY_TIMEOUT_MS);
    child.once("exit", () => {
      clearTimeout(timer);
      fail("ended before it printed its ready line");
    });
    child.stdout!.on("data", (chunk: Buffer) => {
      stdout += chunk.toString();
      const line = /^\{.*"port":\s*(\d+).*\}$/m.exec(stdout);
      if (line === null) return;
      clearTimeout(timer);
      resolve(Number(line[1]));
    });
  });
}
