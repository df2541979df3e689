// Some servers send a share of their answers with one spoiled byte in the status line.
import { play } from "../lib/world.mjs";
import { playSpoiledAnswers } from "../lib/spoiled_answers.mjs";

const spoil = ({ headers, body }) => `HTTP/1.1 200 O\x0b\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`;

await play((onEnd) => playSpoiledAnswers(onEnd, new URL("record.txt", import.meta.url).pathname, spoil));
