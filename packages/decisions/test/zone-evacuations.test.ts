// Which zones an operator has evacuated, as of a version of the store. Guards against older knowledge that ends an evacuation, also that of a
// gateway which knows nothing of evacuations, and against a zone that is used because a restored store lacks its entry for a moment.
import * as chai from 'chai'
import * as fastCheck from 'fast-check'
import * as boards from '../src/target-board.js'
import * as zoneEvacuations from '../src/zone-evacuations.js'

const { expect } = chai

type Step =
  | { list: string[], at: [epoch: number, revision: number] }
  | { changes: Array<[zone: string, removed: boolean]>, at: [epoch: number, revision: number] }
  | { endDoubt: number }

function apply (evacuations: zoneEvacuations.ZoneEvacuations, step: Step): zoneEvacuations.EvacuationChange {
  if ('endDoubt' in step) return evacuations.endDoubt(step.endDoubt)
  const version = { epoch: step.at[0], revision: step.at[1] }
  if ('list' in step) return evacuations.replace(step.list, version)
  return evacuations.applyChanges(step.changes.map(([zone, removed]) => ({ zone, removed })), version)
}

function zonesAfter (changes: ReadonlyArray<[zone: string, removed: boolean]>): string[] {
  const zones = new Set<string>()
  for (const [zone, removed] of changes) {
    if (removed) zones.delete(zone)
    else zones.add(zone)
  }
  return [...zones]
}

describe('evacuated zones', () => {
  const cases: Array<{ name: string, steps: Step[], evacuated: string[] }> = [
    { name: 'are none at first', steps: [], evacuated: [] },
    { name: 'are those of a list', steps: [{ list: ['a', 'b'], at: [1, 5] }], evacuated: ['a', 'b'] },
    { name: 'are those of a newer list', steps: [{ list: ['a'], at: [1, 5] }, { list: ['b'], at: [1, 6] }], evacuated: ['b'] },
    { name: 'are not those of an older list', steps: [{ list: ['a'], at: [1, 5] }, { list: ['b'], at: [1, 4] }], evacuated: ['a'] },
    { name: 'are not ended by a list without a version', steps: [{ list: ['a'], at: [1, 5] }, { list: [], at: [0, 0] }], evacuated: ['a'] },
    { name: 'are not named by a list without a version that follows a newer one', steps: [{ list: [], at: [1, 5] }, { list: ['a'], at: [0, 9] }], evacuated: [] },
    { name: 'are completed by a list of the same version', steps: [{ list: ['a'], at: [1, 5] }, { list: ['b'], at: [1, 5] }, { list: [], at: [1, 5] }], evacuated: ['a', 'b'] },
    { name: 'follow changes', steps: [{ list: ['a'], at: [1, 5] }, { changes: [['b', false], ['a', true]], at: [1, 7] }], evacuated: ['b'] },
    { name: 'are those after the last of changes in quick succession', steps: [{ changes: [['a', false], ['a', true], ['a', false], ['b', false], ['b', true]], at: [1, 9] }], evacuated: ['a'] },
    { name: 'do not follow changes up to a version that is known', steps: [{ list: ['a'], at: [1, 9] }, { changes: [['a', true]], at: [1, 9] }], evacuated: ['a'] },
    { name: 'stay in doubt where a restored store lacks them', steps: [{ list: ['a'], at: [1, 9] }, { list: [], at: [2, 3] }], evacuated: ['a'] },
    { name: 'stay in doubt after further changes', steps: [{ list: ['a'], at: [1, 9] }, { list: [], at: [2, 3] }, { changes: [['b', false]], at: [2, 4] }], evacuated: ['b', 'a'] },
    { name: 'stay in doubt where the store is restored again', steps: [{ list: ['a'], at: [1, 9] }, { list: [], at: [2, 3] }, { list: [], at: [3, 2] }, { endDoubt: 2 }], evacuated: ['a'] },
    { name: 'end with the doubt', steps: [{ list: ['a'], at: [1, 9] }, { list: ['b'], at: [2, 3] }, { endDoubt: 2 }], evacuated: ['b'] },
    { name: 'outlast the doubt where they are written again', steps: [{ list: ['a'], at: [1, 9] }, { list: [], at: [2, 3] }, { changes: [['a', false]], at: [2, 4] }, { endDoubt: 2 }], evacuated: ['a'] },
    { name: 'end at once where a restored store has them removed', steps: [{ list: ['a'], at: [1, 9] }, { list: [], at: [2, 3] }, { changes: [['a', false], ['a', true]], at: [2, 5] }], evacuated: [] },
    { name: 'come back with a restored store that still has them', steps: [{ list: ['a'], at: [1, 5] }, { changes: [['a', true]], at: [1, 9] }, { list: ['a'], at: [2, 5] }], evacuated: ['a'] }
  ]
  for (const { name, steps, evacuated } of cases) {
    it(name, () => {
      const evacuations = new zoneEvacuations.ZoneEvacuations()
      const logged = new Set<string>()
      for (const step of steps) {
        const change = apply(evacuations, step)
        for (const zone of change.evacuated) logged.add(zone)
        for (const zone of change.restored) logged.delete(zone)
      }
      expect(evacuations.zones).to.deep.equal(evacuated)
      expect([...logged]).to.have.members(evacuated)
    })
  }

  it('are the same at a router that hears reports of any versions between its own events', () => {
    const change = fastCheck.tuple(fastCheck.constantFrom('a', 'b', 'c'), fastCheck.boolean())
    const step = fastCheck.record({ batch: fastCheck.integer({ min: 1, max: 3 }), heard: fastCheck.nat() })
    fastCheck.assert(fastCheck.property(fastCheck.array(change, { minLength: 1, maxLength: 12 }), fastCheck.array(step, { minLength: 12, maxLength: 12 }), (changes, steps) => {
      const evacuations = new zoneEvacuations.ZoneEvacuations()
      let read = 0
      for (const { batch, heard } of steps) {
        const revision = heard % (changes.length + 1)
        evacuations.replace(zonesAfter(changes.slice(0, revision)), { epoch: 1, revision })
        const events = changes.slice(read, read + batch)
        read += events.length
        if (events.length > 0) evacuations.applyChanges(events.map(([zone, removed]) => ({ zone, removed })), { epoch: 1, revision: read })
      }
      expect(evacuations.zones).to.have.members(zonesAfter(changes))
    }), { seed: 20261206 })
  })

  it('are passed on with known zones first where an operator wrote many names, and without those in doubt', () => {
    const evacuations = new zoneEvacuations.ZoneEvacuations()
    const names = ['', 'x'.repeat(5000), ...Array.from({ length: 1000 }, (_value, index) => `name-${index}`), 'zone-b']
    evacuations.replace(names, { epoch: 1, revision: 5 })
    const report = evacuations.report((zone) => zone === 'zone-b')
    expect([report.length, report[0]]).to.deep.equal([32, 'zone-b'])
    evacuations.replace([], { epoch: 2, revision: 5 })
    expect([evacuations.zones.length, evacuations.report(() => true)]).to.deep.equal([names.length, []])
  })

  const services: Array<{ name: string, zones: string[], evacuated: string[], assignable: string[], confiningZones: string[] }> = [
    { name: 'without one, all targets', zones: ['a', 'b'], evacuated: [], assignable: ['a', 'b'], confiningZones: [] },
    { name: 'those elsewhere', zones: ['a', 'b'], evacuated: ['a', 'no-zone'], assignable: ['b'], confiningZones: [] },
    { name: 'none where there are no others', zones: ['a', 'a', 'b'], evacuated: ['a', 'b'], assignable: [], confiningZones: ['a', 'b'] },
    { name: 'none of a service without targets, which is not confined', zones: [], evacuated: ['a'], assignable: [], confiningZones: [] }
  ]
  for (const { name, zones, evacuated, assignable, confiningZones } of services) {
    it(`leave to a service: ${name}`, () => {
      const evacuations = new zoneEvacuations.ZoneEvacuations()
      const board = new boards.TargetBoard(evacuations)
      board.replaceEntries(zones.map((availabilityZone, index) => ({ id: `${index}`, service: 'engines', address: `10.0.0.1:${index}`, availabilityZone, slots: 4, leaving: false })))
      evacuations.replace(evacuated, { epoch: 1, revision: 1 })
      expect(board.assignableTargets('engines').map(({ entry }) => entry.availabilityZone)).to.deep.equal(assignable)
      expect(board.confiningZones('engines')).to.deep.equal(confiningZones)
      expect(board.confiningZones('orders')).to.deep.equal([])
    })
  }
})
