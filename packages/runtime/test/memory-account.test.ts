// Bodies and unread answers share the memory of a process. Guards against an account that keeps what has been freed, reads on where there is no
// room, or leaves a body waiting for good.
import type * as decisions from '@acaciaweir/decisions'
import * as chai from 'chai'
import * as memoryAccounts from '../src/memory-account.js'

const { expect } = chai

const MEGABYTE = 1024 * 1024

class StillClock implements Pick<decisions.clock.Clock, 'now'> {
  milliseconds = 0
  now (): number { return this.milliseconds }
}

describe('an account of memory', () => {
  let clock: StillClock
  let account: memoryAccounts.MemoryAccount
  let seen: string[]

  beforeEach(() => {
    clock = new StillClock()
    seen = []
    account = new memoryAccounts.MemoryAccount({
      clock: clock as unknown as decisions.clock.Clock,
      capacityBytes: 8 * MEGABYTE,
      onPushBack: (isPushingBack) => { seen.push(isPushingBack ? 'pushes back' : 'ceases') }
    })
  })

  function body (name: string, bytes: number, missingBytes: number): memoryAccounts.BodyHolding {
    const holding = account.open({
      pause: () => { seen.push(`${name} waits`) },
      resume: () => { seen.push(`${name} goes on`) },
      giveUp: () => {
        seen.push(`${name} is given up`)
        holding.release()
      }
    })
    holding.grow(bytes, missingBytes)
    return holding
  }

  it('lets a body wait until another is whole and freed', async () => {
    const first = body('first', 3 * MEGABYTE, MEGABYTE)
    body('second', MEGABYTE, 3 * MEGABYTE)
    first.grow(MEGABYTE, 0)
    first.complete()
    first.release()
    await new Promise((resolve) => { setTimeout(resolve, 300) })
    expect(seen).to.deep.equal(['second waits', 'pushes back', 'second goes on', 'ceases'])
    expect(account.heldBytes).to.equal(MEGABYTE)
  })

  it('gives up a body that stands still while another waits', async () => {
    body('first', 3 * MEGABYTE, MEGABYTE)
    clock.milliseconds = 1500
    body('second', MEGABYTE, 3 * MEGABYTE)
    clock.milliseconds = 2500
    await new Promise((resolve) => { setTimeout(resolve, 600) })
    expect(seen).to.deep.equal(['second waits', 'pushes back', 'first is given up', 'second goes on', 'ceases'])
    expect(account.heldBytes).to.equal(MEGABYTE)
  })

  it('closes the connection that holds most unread answers', () => {
    for (const [name, bytes] of [['one', 2], ['two', 5], ['three', 3]] as const) {
      const answers: memoryAccounts.AnswerHolding = account.openAnswers(() => { seen.push(`${name} is closed`) })
      answers.add(bytes * MEGABYTE)
    }
    expect(seen).to.deep.equal(['two is closed'])
    expect(account.answerBytes).to.equal(5 * MEGABYTE)
  })

  it('closes the connection of a caller that has stopped to read, not of one that reads without a write being done', () => {
    const sentBytes = { reading: 0, stopped: 1000 }
    for (const name of ['reading', 'stopped'] as const) account.openAnswers(() => { seen.push(`${name} is closed`) }, () => sentBytes[name]).add(MEGABYTE)
    account.closeStillestAnswers()
    for (clock.milliseconds = 1000; clock.milliseconds <= 4000; clock.milliseconds += 1000) {
      sentBytes.reading += 50_000
      account.closeStillestAnswers()
    }
    expect(seen).to.deep.equal(['stopped is closed'])
  })

  it('gives up ordinary bodies that stand still where a new one has no room', () => {
    for (let index = 0; index < 140; index += 1) body(`body ${index}`, 60_000, 5000)
    clock.milliseconds = 1000
    expect([account.mayTake(1000), account.mayTake(0)]).to.deep.equal([false, true])
    clock.milliseconds = 2500
    expect(account.mayTake(1000)).to.equal(true)
    expect(account.heldBytes).to.equal(0)
  })

  it('refuses large bodies before ordinary ones', () => {
    account.openAnswers(() => {}).add(7 * MEGABYTE)
    expect([account.mayTake(MEGABYTE), account.mayTake(1000), account.mayTake(undefined)]).to.deep.equal([false, true, true])
  })
})
