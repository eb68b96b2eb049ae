export * as spendReport from './spend-report.js'
