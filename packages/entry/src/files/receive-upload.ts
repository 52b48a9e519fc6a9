/** Receives multipart uploads. */
import type { IncomingMessage } from 'node:http'
import type { Readable } from 'node:stream'
import busboy from 'busboy'
import { invalidRequest } from '../http/api-error.js'
import type { FileChunker, StoredFile } from './file-chunker.js'

/** A stored upload. */
export interface Upload {
  readonly name: string
  readonly purpose: string
  readonly stored: StoredFile
}

const maximumFieldBytes = 4_096
const maximumFields = 16

/** Receives a form with the fields `purpose` and `file`, and stores the file while it arrives. */
export async function receiveUpload (request: IncomingMessage, chunker: FileChunker): Promise<Upload> {
  const parser = createParser(request)
  let purpose = ''
  let name = ''
  let storing: Promise<StoredFile> | null = null
  await new Promise<void>((resolve, reject) => {
    parser.on('field', (field, value) => {
      if (field === 'purpose') {
        purpose = value
      }
    })
    parser.on('file', (_field, stream, information) => {
      name = information.filename ?? ''
      storing = storeFile(stream, chunker)
      storing.catch(reject)
    })
    parser.on('close', resolve)
    parser.on('error', () => { reject(invalidRequest('the multipart body is broken')) })
    request.on('aborted', () => { reject(invalidRequest('the upload was cut off')) })
    request.pipe(parser)
  })
  if (storing === null) {
    throw invalidRequest('the form has no file', 'file')
  }
  return { name, purpose, stored: await storing }
}

function createParser (request: IncomingMessage): busboy.Busboy {
  try {
    return busboy({
      headers: request.headers,
      limits: { files: 1, fields: maximumFields, fieldSize: maximumFieldBytes }
    })
  } catch {
    throw invalidRequest('expected a multipart/form-data body with the fields "purpose" and "file"')
  }
}

async function storeFile (stream: Readable, chunker: FileChunker): Promise<StoredFile> {
  for await (const bytes of stream) {
    await chunker.write(bytes as Buffer)
  }
  return await chunker.finish()
}
