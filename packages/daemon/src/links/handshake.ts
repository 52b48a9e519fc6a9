/** Mutual authentication of a link: each side proves by an HMAC that it knows the shared secret, which is never sent. */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import { decodeMessage, encodeMessage, MessageType } from '@arbutusloft/protocol'
import type { LinkMessage } from '@arbutusloft/protocol'
import type { SocketInbox } from './socket-inbox.js'

/** The peer failed to authenticate, closed the connection, or did not answer within the timeout. */
export class HandshakeError extends Error {
  override readonly name = 'HandshakeError'
}

/** Identity and secret with which a process opens links. */
export interface HandshakeOptions {
  /** Member name of this process. */
  readonly member: string
  /** Secret shared by all processes of the system. */
  readonly secret: string
}

const nonceBytes = 32
const handshakeTimeoutMilliseconds = 2_000

/** Each side signs with its own label, so that a proof cannot be reflected to its sender. */
const connectLabel = 'connect'
const acceptLabel = 'accept'

/** Authenticates the connecting peer and returns its member name; throws a {@link HandshakeError}. */
export async function acceptHandshake (inbox: SocketInbox, options: HandshakeOptions): Promise<string> {
  const { socket } = inbox
  const nonce = randomBytes(nonceBytes)
  socket.send(encodeMessage({ type: MessageType.Challenge, nonce }))
  const proof = await receiveMessage(inbox, MessageType.Proof)
  const nonces = [nonce, proof.nonce]
  verifyDigest(proof.digest, sign(options.secret, connectLabel, proof.instance, nonces))
  const digest = sign(options.secret, acceptLabel, options.member, nonces)
  socket.send(encodeMessage({ type: MessageType.Welcome, instance: options.member, digest }))
  return proof.instance
}

/** Authenticates with the accepting peer and returns its member name; throws a {@link HandshakeError}. */
export async function connectHandshake (inbox: SocketInbox, options: HandshakeOptions): Promise<string> {
  const { socket } = inbox
  const challenge = await receiveMessage(inbox, MessageType.Challenge)
  const nonce = randomBytes(nonceBytes)
  const nonces = [challenge.nonce, nonce]
  const digest = sign(options.secret, connectLabel, options.member, nonces)
  socket.send(encodeMessage({ type: MessageType.Proof, instance: options.member, nonce, digest }))
  const welcome = await receiveMessage(inbox, MessageType.Welcome)
  verifyDigest(welcome.digest, sign(options.secret, acceptLabel, welcome.instance, nonces))
  return welcome.instance
}

function sign (secret: string, label: string, member: string, nonces: readonly Uint8Array[]): Buffer {
  const hmac = createHmac('sha256', secret)
  hmac.update(`${label}\n${member}\n`)
  for (const nonce of nonces) {
    hmac.update(nonce)
  }
  return hmac.digest()
}

function verifyDigest (received: Uint8Array, expected: Buffer): void {
  if (received.byteLength !== expected.byteLength || !timingSafeEqual(received, expected)) {
    throw new HandshakeError('the peer\'s digest does not match the link secret')
  }
}

async function receiveMessage<T extends LinkMessage['type']> (
  inbox: SocketInbox,
  type: T
): Promise<Extract<LinkMessage, { readonly type: T }>> {
  return await new Promise((resolve, reject) => {
    const fail = (message: string): void => { finish(() => { reject(new HandshakeError(message)) }) }
    const onMessage = (data: Buffer): void => {
      const message = decodeMessage(data)
      if (message.err || message.val.type !== type) {
        fail(`expected a message of type ${type}, received ${message.err ? 'an undecodable message' : message.val.type}`)
        return
      }
      const value = message.val as Extract<LinkMessage, { readonly type: T }>
      finish(() => { resolve(value) })
    }
    const onClose = (): void => { fail(`the connection closed before a message of type ${type} was received`) }
    const timer = setTimeout(() => { fail(`no message of type ${type} within ${handshakeTimeoutMilliseconds} ms`) }, handshakeTimeoutMilliseconds)
    const finish = (settle: () => void): void => {
      clearTimeout(timer)
      inbox.pause()
      inbox.socket.off('close', onClose)
      settle()
    }
    inbox.socket.on('close', onClose)
    inbox.read(onMessage)
  })
}
