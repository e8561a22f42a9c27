// Routes, as an example: `routes: import 'routes.libsonnet'` in operators.jsonnet. docs/operate/routes.md has every field.
{
  reads: {
    'header:X-Office': { most: 32, past: 'refuse', same_on_retry: true },
    target: { most: 300 },
  },
  names: {
    volume: "decimal(split(target, '/', 6)[4] ?? '') ?? -1",
  },
  rules: [
    // A range of volumes waits behind the rest when links are full.
    { name: 'archive range', match: 'volume in 100..199', importance: 0.5, hops: 1 },
    // One office's flood is held back, and told when to come back.
    { name: 'offices', match: "has(header('X-Office'))",
      limit: { key: "header('X-Office') ?? ''", per_s: 20, at_once: 40 } },
  ],
}
