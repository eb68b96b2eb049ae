// Guards against an account that gets each connection that becomes free because its requests came first, and against a wake-up that is lost.
import * as chai from 'chai'
import * as connectionSlots from '../src/connection-slots.js'

const { expect } = chai

const ENTRY = { id: 'a', service: 'engines', address: '10.0.0.1:1', availabilityZone: 'zone-a', slots: 4, leaving: false }

/** Queues requests, each as its account and rank, and returns a list to which their accounts are added as they are woken. */
function queue (slots: connectionSlots.ConnectionSlots, requests: Array<[string, number]>): { woken: string[], turns: connectionSlots.WaitingTurn[], end: () => void } {
  const woken: string[] = []
  const controller = new AbortController()
  const turns = requests.map(([account, rank]) => slots.joinQueue('engines', rank, account))
  for (const [index, turn] of turns.entries()) {
    const { wake } = connectionSlots.WaitingTurn.prototype
    turn.wake = () => {
      woken.push(requests[index][0])
      wake.call(turn)
    }
    void turn.next(1000, controller.signal)
  }
  return { woken, turns, end: () => { controller.abort() } }
}

describe('ConnectionSlots', () => {
  const cases: Array<{ name: string, inUse: string[], waiting: Array<[string, number]>, next: string }> = [
    { name: 'wakes the first request of one account', inUse: ['busy', 'busy'], waiting: [['busy', 0], ['busy', 0]], next: 'busy' },
    { name: 'wakes the account with the fewest connections', inUse: ['busy', 'busy', 'busy', 'calm'], waiting: [['busy', 0], ['calm', 0]], next: 'calm' },
    { name: 'wakes the most urgent request first, whatever its account has', inUse: ['busy', 'busy', 'busy'], waiting: [['calm', 2], ['busy', 0]], next: 'busy' }
  ]
  for (const { name, inUse, waiting, next } of cases) {
    it(name, () => {
      const slots = new connectionSlots.ConnectionSlots(() => inUse.length)
      const releases = inUse.map((account) => slots.take(ENTRY, account))
      const { woken, end } = queue(slots, waiting)
      releases[0]()
      end()
      expect(woken).to.deep.equal([next])
    })
  }

  it('wakes the next request if the one that was woken still waits', () => {
    const slots = new connectionSlots.ConnectionSlots(() => 2)
    const releases = [slots.take(ENTRY, 'busy'), slots.take(ENTRY, 'busy')]
    const { woken, turns, end } = queue(slots, [['busy', 0], ['calm', 0]])
    releases[0]()
    slots.passOn('engines', turns[1])
    slots.passOn('engines', turns[0])
    end()
    expect(woken).to.deep.equal(['calm', 'busy'])
  })
})
