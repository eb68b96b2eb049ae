import * as workerThreads from 'node:worker_threads'

const { pid, runMs, stopMs } = workerThreads.workerData as { pid: number, runMs: number, stopMs: number }
const timer = new Int32Array(new SharedArrayBuffer(4))

while (true) {
  process.kill(pid, 'SIGCONT')
  Atomics.wait(timer, 0, 0, runMs)
  process.kill(pid, 'SIGSTOP')
  Atomics.wait(timer, 0, 0, stopMs)
}
