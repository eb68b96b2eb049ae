// Guards against prompt parts that go on crashing targets because each router counts for itself, and against sound parts that are held back
// because targets ended for other reasons, or stay held back once that is known.
import * as chai from 'chai'
import * as boards from '../src/prompt-part-board.js'

const { expect } = chai

const SEEN_ACCOUNT = 'depot'
const FIRST_RANK = (): number => 0

interface TestBoard {
  board: boards.PromptPartBoard
  held: string[]
  released: string[]
}

function createBoard (name = 'one'): TestBoard {
  const held: string[] = []
  const released: string[] = []
  const board = new boards.PromptPartBoard(name, { onHeld: ({ part }) => { held.push(part) }, onReleased: (part) => { released.push(part) } })
  return { board, held, released }
}

/** Records crashes one second apart, each of another target, and returns the time of the last one. */
function crash (board: boards.PromptPartBoard, parts: string[], count: number, startAt = 0, gapMs = 1000): number {
  for (let index = 0; index < count; index++) board.recordLoss(parts, SEEN_ACCOUNT, `t${startAt}-${index}`, startAt + index * gapMs)
  return startAt + (count - 1) * gapMs
}

function isRefused (board: boards.PromptPartBoard, parts: string[], now: number, account = SEEN_ACCOUNT, rank = FIRST_RANK): boolean {
  return board.refusal(parts, account, rank, now) !== undefined
}

describe('prompt parts under which targets crash', () => {
  const cases: Array<{ name: string, prepare: (board: boards.PromptPartBoard) => number, parts?: string[], account?: string, refused: boolean }> = [
    { name: 'holds back a part after three crashes', prepare: (board) => crash(board, ['bad'], 3), refused: true },
    { name: 'sends a part after two crashes', prepare: (board) => crash(board, ['bad'], 2), refused: false },
    { name: 'counts targets that end together once', prepare: (board) => crash(board, ['bad'], 9, 0, 20), refused: false },
    {
      name: 'counts requests that are lost at one target together once',
      prepare: (board) => {
        for (const now of [0, 500, 1000]) board.recordLoss(['bad'], SEEN_ACCOUNT, 'same', now)
        return 1000
      },
      refused: false
    },
    {
      name: 'starts anew after a complete answer',
      prepare: (board) => {
        crash(board, ['bad'], 2)
        board.recordAnswer(['bad'], SEEN_ACCOUNT, 3000)
        return crash(board, ['bad'], 2, 4000)
      },
      refused: false
    },
    {
      name: 'sends a part that was answered before, after as many crashes',
      prepare: (board) => {
        board.recordAnswer(['bad'], SEEN_ACCOUNT, 0)
        return crash(board, ['bad'], 9, 1000)
      },
      refused: false
    },
    {
      name: 'holds back a part that was answered before, once it crashes every target',
      prepare: (board) => {
        board.recordAnswer(['bad'], SEEN_ACCOUNT, 0)
        return crash(board, ['bad'], 10, 1000)
      },
      refused: true
    },
    { name: 'sends requests that share only sound parts with crashing ones', prepare: (board) => { board.recordAnswer(['common'], SEEN_ACCOUNT, 0); return crash(board, ['common', 'bad'], 5, 1000) }, parts: ['common', 'other'], refused: false },
    { name: 'holds back a part for accounts that never sent it', prepare: (board) => crash(board, ['bad'], 3), account: 'other', refused: true },
    {
      name: 'sends a part for an account that got answers with it, while another account loses requests with it',
      prepare: (board) => {
        board.recordAnswer(['bad'], 'other', 0)
        return crash(board, ['bad'], 12, 1000)
      },
      account: 'other',
      refused: false
    },
    { name: 'holds back the second of two crashing parts', prepare: (board) => { crash(board, ['bad2'], 3); return crash(board, ['bad'], 3, 500) }, refused: true }
  ]
  for (const { name, prepare, parts = ['bad'], account, refused } of cases) {
    it(name, () => {
      const { board } = createBoard()
      expect(isRefused(board, parts, prepare(board), account)).to.equal(refused)
    })
  }

  it('does not repeat a lost request with a part that has crashed two targets and was never answered', () => {
    const { board } = createBoard()
    crash(board, ['bad'], 1)
    expect(board.mayRepeat(['bad'])).to.equal(true)
    crash(board, ['bad'], 1, 1000)
    expect(board.mayRepeat(['bad'])).to.equal(false)
    board.recordAnswer(['common'], SEEN_ACCOUNT, 0)
    crash(board, ['common'], 2, 2000)
    expect(board.mayRepeat(['common'])).to.equal(true)
  })

  it('remembers a bounded number of parts, and those that are held back longest', () => {
    const { board } = createBoard()
    crash(board, ['bad'], 3)
    for (let index = 0; index < 20_000; index++) {
      board.recordLoss([`new-${index}`], SEEN_ACCOUNT, `t${index}`, 3000)
      board.recordAnswer([`answered-${index}`], SEEN_ACCOUNT, 3000)
    }
    expect(isRefused(board, ['bad'], 3000)).to.equal(true)
    expect(board.reports(3000)).to.have.length.at.most(64)
    expect(board.reports(3000)[0].part).to.equal('bad')
  })
})

describe('exchange of evidence about prompt parts', () => {
  it('holds back a part by crashes of which no router saw more than one', () => {
    const routers = ['one', 'two', 'three'].map((name) => createBoard(name))
    routers.forEach(({ board }, index) => { board.recordLoss(['common', 'bad'], SEEN_ACCOUNT, `t${index}`, index * 400) })
    const late = createBoard('late')
    for (const { board } of routers) late.board.merge(board.reports(1000), 1000)
    const refusal = late.board.refusal(['bad'], SEEN_ACCOUNT, FIRST_RANK, 1000)
    expect(refusal?.crashes).to.equal(3)
    expect(refusal?.seenBy).to.deep.equal(['one', 'two', 'three'])
    expect(refusal?.newestCrashAgeMs).to.equal(200)
  })

  it('reports own crashes for two seconds, and those under a held part for as long as it is held', () => {
    const { board } = createBoard()
    crash(board, ['suspected'], 2)
    crash(board, ['bad'], 3)
    board.merge([{ part: 'elsewhere', crashes: [{ target: 't9', ageMs: 0, seenBy: 'two' }], answeredAgeMs: -1, testedAgeMs: -1, failedTests: 0 }], 3000)
    expect(board.reports(3000).map(({ part, crashes }) => [part, crashes.length])).to.deep.equal([['bad', 3], ['suspected', 1]])
    expect(board.reports(20_000).map(({ part }) => part)).to.deep.equal(['bad'])
    expect(board.mayRepeat(['suspected'])).to.equal(false)
  })

  it('counts a crash that several routers saw once', () => {
    const [one, two] = [createBoard('one'), createBoard('two')]
    for (const { board } of [one, two]) crash(board, ['bad'], 2)
    one.board.merge(two.board.reports(1500), 1500)
    expect(isRefused(one.board, ['bad'], 1500)).to.equal(false)
  })

  it('releases a part everywhere once one router gets a complete answer, also where older reports still arrive', () => {
    const [one, two] = [createBoard('one'), createBoard('two')]
    crash(one.board, ['sound'], 3)
    const older = one.board.reports(2500)
    two.board.merge(older, 2500)
    expect(two.held).to.deep.equal(['sound'])
    one.board.recordAnswer(['sound'], SEEN_ACCOUNT, 3000)
    two.board.merge(one.board.reports(3100), 3100)
    expect(two.released).to.deep.equal(['sound'])
    two.board.merge(older, 2600)
    expect(isRefused(two.board, ['sound'], 3200)).to.equal(false)
  })

  it('clears a suspicion of another router by answers from before it', () => {
    const [busy, fresh] = [createBoard('busy'), createBoard('fresh')]
    busy.board.recordAnswer(['common'], SEEN_ACCOUNT, 0)
    crash(fresh.board, ['common'], 2, 1000)
    busy.board.merge(fresh.board.reports(2100), 2100)
    fresh.board.merge(busy.board.reports(2200), 2200)
    crash(fresh.board, ['common'], 2, 3000)
    expect(isRefused(fresh.board, ['common'], 4100)).to.equal(false)
  })
})

describe('tests of a held prompt part', () => {
  it('lets one request through after a while, and none for long if that crashes a target, too', () => {
    const { board } = createBoard()
    const lastAt = crash(board, ['bad'], 3)
    expect(isRefused(board, ['bad'], lastAt + 29_000)).to.equal(true)
    expect(isRefused(board, ['bad'], lastAt + 30_000)).to.equal(false)
    expect(isRefused(board, ['bad'], lastAt + 30_001)).to.equal(true)
    board.recordLoss(['bad'], SEEN_ACCOUNT, 'tested', lastAt + 30_100)
    expect(isRefused(board, ['bad'], lastAt + 630_000)).to.equal(true)
    expect(isRefused(board, ['bad'], lastAt + 630_200)).to.equal(false)
  })

  it('keeps the other routers from testing it, too', () => {
    const [one, two] = [createBoard('one'), createBoard('two')]
    const lastAt = crash(one.board, ['bad'], 3)
    two.board.merge(one.board.reports(lastAt), lastAt)
    expect(isRefused(two.board, ['bad'], lastAt + 30_500, SEEN_ACCOUNT, () => 1)).to.equal(true)
    expect(isRefused(one.board, ['bad'], lastAt + 30_500)).to.equal(false)
    two.board.merge(one.board.reports(lastAt + 30_600), lastAt + 30_600)
    expect(isRefused(two.board, ['bad'], lastAt + 31_500, SEEN_ACCOUNT, () => 1)).to.equal(true)
  })

  it('soon tests a part whose crashes another held part explains, in a request without that one', () => {
    const { board, released } = createBoard()
    const lastAt = crash(board, ['sound', 'bad'], 3)
    expect(isRefused(board, ['sound', 'bad'], lastAt + 1500)).to.equal(true)
    expect(isRefused(board, ['sound'], lastAt + 1500)).to.equal(false)
    board.recordAnswer(['sound'], SEEN_ACCOUNT, lastAt + 1900)
    expect(released).to.deep.equal(['sound'])
    expect(isRefused(board, ['bad'], lastAt + 2000)).to.equal(true)
  })
})
