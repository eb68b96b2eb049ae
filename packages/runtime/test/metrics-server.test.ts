// Guards against values that are exported for ever although what they tell of is gone.
import * as chai from 'chai'
import * as metricsServer from '../src/metrics-server.js'

describe('a gauge with labels', () => {
  it('leaves out a label that is gone', async () => {
    const server = new metricsServer.MetricsServer()
    let values: Record<string, number> = { a: 1, b: 2 }
    server.addLabelledGauge('rooms', 'Rooms', 'target', () => values)
    await server.registry.metrics()
    values = { b: 3 }
    chai.expect(await server.registry.metrics()).to.include('rooms{target="b"} 3').and.not.to.include('target="a"')
  })
})
