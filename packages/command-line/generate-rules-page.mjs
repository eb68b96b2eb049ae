// Writes the rules of `acaciaweir check` into docs/MANIFEST.md. Run `npm run generate` after changing a rule.
import fs from 'node:fs'
import { updatePage } from './dist/src/rules-page.js'

const page = new URL('../../docs/MANIFEST.md', import.meta.url)
fs.writeFileSync(page, updatePage(fs.readFileSync(page, 'utf8')))
