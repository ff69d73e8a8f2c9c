// Drives a running node with the unchanged `openai` client library.
// Usage: node check_openai_client.mjs <base_url> <api_key> <model> <emulator_url>
import OpenAI from "openai";
import assert from "node:assert/strict";

const [baseURL, apiKey, model, emulatorURL] = process.argv.slice(2);
const client = new OpenAI({ baseURL, apiKey, maxRetries: 0 });
const messages = [{ role: "user", content: "Summarise the report of this morning." }];
const checks = [];

async function check(name, run) {
  await run();
  checks.push(name);
}

async function collectStream(stream, read) {
  let text = "";
  let finishReason = null;
  for await (const event of stream) {
    text += read(event.choices[0]) ?? "";
    finishReason = event.choices[0].finish_reason ?? finishReason;
  }
  return { text, finishReason };
}

await check("models", async () => {
  const models = [];
  for await (const entry of client.models.list()) {
    models.push(entry.id);
  }
  assert.ok(models.includes(model));
  assert.equal((await client.models.retrieve(model)).id, model);
});

let whole;
await check("chat", async () => {
  const answer = await client.chat.completions.create({ model, messages, max_tokens: 12 });
  whole = answer.choices[0].message.content;
  assert.equal(answer.choices[0].message.role, "assistant");
  assert.equal(answer.usage.completion_tokens, 12);
  assert.equal(answer.choices[0].finish_reason, "length");
});

await check("chat streamed", async () => {
  const stream = await client.chat.completions.create({
    model, messages, max_tokens: 12, stream: true,
  });
  const { text, finishReason } = await collectStream(stream, (choice) => choice.delta.content);
  assert.equal(text, whole);
  assert.equal(finishReason, "length");
});

await check("text completion", async () => {
  const answer = await client.completions.create({ model, prompt: "Once", max_tokens: 5 });
  assert.equal(answer.object, "text_completion");
  assert.equal(answer.usage.completion_tokens, 5);
  const stream = await client.completions.create({
    model, prompt: "Once", max_tokens: 5, stream: true,
  });
  const { text } = await collectStream(stream, (choice) => choice.text);
  assert.equal(text, answer.choices[0].text);
});

await check("stream cancelled by the caller", async () => {
  const stream = await client.chat.completions.create({ model, messages, stream: true });
  for await (const event of stream) {
    assert.ok(event.id);
    break;
  }
});

await check("unknown model is a typed 404", async () => {
  const request = client.chat.completions.create({ model: "no-such-model", messages });
  await assert.rejects(request, (error) => {
    assert.ok(error instanceof OpenAI.NotFoundError);
    assert.equal(error.type, "unknown_model");
    assert.equal(error.error.ran, "no");
    return true;
  });
});

await check("unknown key is a typed 401", async () => {
  const stranger = new OpenAI({ baseURL, apiKey: "no-such-key", maxRetries: 0 });
  await assert.rejects(stranger.chat.completions.create({ model, messages }),
                       OpenAI.AuthenticationError);
});

await check("malformed request is a typed 400", async () => {
  await assert.rejects(client.chat.completions.create({ model, messages: "none" }),
                       OpenAI.BadRequestError);
});

async function listWorkers() {
  const answer = await fetch(new URL("/admin/workers", baseURL));
  return (await answer.json()).workers;
}

async function setState(workers, state) {
  const faults = Object.fromEntries(workers.map((worker) => [worker.id, { state }]));
  const answer = await fetch(`${emulatorURL}/faults`, {
    method: "POST", body: JSON.stringify(faults),
  });
  assert.equal(answer.status, 200);
}

// Reads a stream and puts the workers that `choose` names to death once its first text is here.
async function readWhileWorkersDie(choose) {
  let text = "";
  const dead = [];
  try {
    const stream = await client.chat.completions.create({ model, messages, stream: true });
    for await (const event of stream) {
      text += event.choices[0].delta.content ?? "";
      if (text !== "" && dead.length === 0) {
        dead.push(...(await listWorkers()).filter(choose));
        await setState(dead, "dead");
      }
    }
  } finally {
    await setState(dead, "live");
  }
  return { text, dead };
}

await check("a stream goes on elsewhere when its worker dies", async () => {
  const answer = await client.chat.completions.create({ model, messages });
  const { text, dead } = await readWhileWorkersDie((worker) => worker.in_flight > 0);
  assert.equal(dead.length, 1);
  assert.equal(text, answer.choices[0].message.content);
});

await check("a stream that cannot go on is an error, never a short answer", async () => {
  await assert.rejects(readWhileWorkersDie(() => true));
});

console.log(JSON.stringify({ passed: checks.length, checks }));
