import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { sample, startEmbeddedSystem, waitUntil } from '@arbutusloft/development'
import type { EmbeddedSystem } from '@arbutusloft/development'
import OpenAI, { toFile } from 'openai'
import { expectedResponseText } from './checkers/check-responses.js'
import { chatEndpoint, createChatLines, createItemNames } from './harness/batch-input.js'

void describe('the public OpenAI client', () => {
  let system: EmbeddedSystem
  let client: OpenAI
  let otherClient: OpenAI

  before(async () => {
    system = await startEmbeddedSystem()
    const baseURL = `http://${system.callerAddress}/v1`
    client = new OpenAI({ baseURL, apiKey: sample.stylist.key, maxRetries: 0 })
    otherClient = new OpenAI({ baseURL, apiKey: sample.bakery.key, maxRetries: 0 })
  })

  after(async () => { await system.close() })

  void it('lists models', async () => {
    const models = await client.models.list()
    assert.deepEqual(models.data.map(model => model.id), [sample.model])
    assert.equal((await client.models.retrieve(sample.model)).id, sample.model)
  })

  void it('receives a chat completion with its usage', async () => {
    const completion = await client.chat.completions.create({
      model: sample.model,
      max_tokens: 6,
      messages: [{ role: 'user', content: 'slot' }]
    })
    assert.equal(completion.choices[0]?.message.content, expectedResponseText('slot', 6))
    assert.equal(completion.usage?.completion_tokens, 6)
  })

  void it('streams a chat completion', async () => {
    const stream = await client.chat.completions.create({
      model: sample.model,
      max_tokens: 9,
      stream: true,
      stream_options: { include_usage: true },
      messages: [{ role: 'user', content: 'flavours' }]
    })
    let text = ''
    let tokens = 0
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? ''
      tokens = chunk.usage?.completion_tokens ?? tokens
    }
    assert.equal(text, expectedResponseText('flavours', 9))
    assert.equal(tokens, 9)
  })

  void it('completes a prompt', async () => {
    const completion = await client.completions.create({ model: sample.model, prompt: 'once', max_tokens: 3 })
    assert.equal(completion.choices[0]?.text.split(' ').length, 3)
  })

  void it('runs a batch to completion and reads output and errors', async () => {
    const names = createItemNames('cake', 12)
    const lines = [...createChatLines(names), 'not a request']
    const file = await client.files.create({ purpose: 'batch', file: await toFile(Buffer.from(lines.join('\n')), 'in.jsonl') })
    assert.equal((await client.files.retrieve(file.id)).filename, 'in.jsonl')
    const batch = await client.batches.create({ input_file_id: file.id, endpoint: chatEndpoint, completion_window: '24h' })
    await waitUntil('the batch has ended', async () => (await client.batches.retrieve(batch.id)).status === 'completed')
    const done = await client.batches.retrieve(batch.id)
    assert.deepEqual(done.request_counts, { total: 13, completed: 12, failed: 1 })
    const output = await (await client.files.content(done.output_file_id ?? '')).text()
    const results = output.trim().split('\n').map(line => JSON.parse(line) as { readonly custom_id: string, readonly response: { readonly body: { readonly choices: ReadonlyArray<{ readonly message: { readonly content: string } }> } } })
    assert.deepEqual(results.map(result => result.custom_id).sort(), [...names].sort())
    for (const result of results) {
      assert.equal(result.response.body.choices[0]?.message.content, expectedResponseText(`text for ${result.custom_id}`, 8))
    }
    const errors = await (await client.files.content(done.error_file_id ?? '')).text()
    assert.match(errors, /line 13/)
    assert.ok((await client.batches.list()).data.some(candidate => candidate.id === batch.id))
  })

  void it('gets the same batch when it retries the creation with one idempotency key', async () => {
    const file = await client.files.create({ purpose: 'batch', file: await toFile(Buffer.from(createChatLines(['one']).join('\n')), 'in.jsonl') })
    const create = async (): Promise<string> => {
      const body = { input_file_id: file.id, endpoint: chatEndpoint, completion_window: '24h' } as const
      return (await client.batches.create(body, { headers: { 'idempotency-key': 'resend-1' } })).id
    }
    assert.equal(await create(), await create())
  })

  void it('cancels a batch, whose items then stop', async () => {
    const file = await client.files.create({ purpose: 'batch', file: await toFile(Buffer.from(createChatLines(createItemNames('long', 4_000), 40).join('\n')), 'in.jsonl') })
    const batch = await client.batches.create({ input_file_id: file.id, endpoint: chatEndpoint, completion_window: '24h' })
    await waitUntil('the batch has begun', async () => ((await client.batches.retrieve(batch.id)).request_counts?.completed ?? 0) > 0)
    const cancelled = await client.batches.cancel(batch.id)
    assert.equal(cancelled.status, 'cancelled')
    const counts = (await client.batches.retrieve(batch.id)).request_counts
    await waitUntil('its streams have stopped', () => system.engines.every(engine => engine.running === 0 && engine.queued === 0))
    assert.deepEqual((await client.batches.retrieve(batch.id)).request_counts, counts)
    const output = await (await client.files.content((await client.batches.retrieve(batch.id)).output_file_id ?? '')).text()
    assert.equal(output.trim().split('\n').length, counts?.completed)
  })

  void it('cannot access another client\'s files and batches', async () => {
    const file = await client.files.create({ purpose: 'batch', file: await toFile(Buffer.from(createChatLines(['mine']).join('\n')), 'in.jsonl') })
    const batch = await client.batches.create({ input_file_id: file.id, endpoint: chatEndpoint, completion_window: '24h' })
    await assert.rejects(otherClient.files.retrieve(file.id), { status: 404 })
    await assert.rejects(otherClient.batches.retrieve(batch.id), { status: 404 })
    await assert.rejects(otherClient.batches.cancel(batch.id), { status: 404 })
    await assert.rejects(otherClient.files.content(`file-${batch.id}-output`), { status: 404 })
    await assert.rejects(otherClient.batches.create({ input_file_id: file.id, endpoint: chatEndpoint, completion_window: '24h' }), { status: 400 })
  })

  void it('receives errors for an unknown model, a request without messages, a prompt that is too long and a wrong key', async () => {
    await assert.rejects(client.chat.completions.create({ model: 'unknown', messages: [{ role: 'user', content: 'x' }] }), /your plan has no model/)
    await assert.rejects(client.chat.completions.create({ model: sample.model, messages: [] }), { status: 400 })
    const long = { role: 'user', content: 'word '.repeat(20_000) } as const
    await assert.rejects(client.chat.completions.create({ model: sample.model, messages: [long] }), { code: 'context_length_exceeded' })
    await assert.rejects(new OpenAI({ baseURL: client.baseURL, apiKey: 'wrong', maxRetries: 0 }).models.list(), { status: 401 })
  })
})
