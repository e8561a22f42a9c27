// Where service does not come back after a trigger has ended: load against the length of an origin's brown-out that the
// clients answer by asking again. last_5s is the share handled in time in the last 5 s, long after the trigger.
local lengths = [0, 2, 6, 12];

{
  town: { seconds: 45, places: 2, caches: 3, retries: 4, retry_ms: 50, one_offs: 0.1, origin_flows: 14 },
  factors: { load: [0.5, 0.7, 0.9, 1.1] },
  policies: ['decide', 'rendezvous', 'all-hops', 'random'],
  faults: { [l + 's']: if l == 0 then '' else '8000 origin-slow by 6 for %d\n8000 purge by 64 for 500' % (1000 * l) for l in lengths },
  seeds: 10,
  metrics: ['last_5s', 'in_time', 'origin_shed', 'rules_broken'],
  stop: { half_width: 0.01, least_seeds: 5 },
}
