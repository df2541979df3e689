import { runProgram } from "./_lib/run_program.ts";
import { createEngineStandIn } from "./create_engine_stand_in.ts";

await runProgram(createEngineStandIn);
