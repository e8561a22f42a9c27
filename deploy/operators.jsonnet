// What a director's operators set beside what the platform tells it: `mothcross serve --operators FILE`.
// Without this file every feature named here is off. Fields bear their unit at the end of their name; those left
// out have the value shown here. `mothcross check --operators FILE --show` prints what was understood.
local minute = 60, hour = 60 * minute;

{
  // Starting while discovery is down: docs/operate/membership.md.
  membership: {
    file: '/var/lib/mothcross/list',  // on a disk that lasts; one file a director
    fleet: 'offices',                 // a list of another fleet is refused
    recent_s: 10 * minute,            // told no longer ago than this: in service
    old_s: 24 * hour,                 // then used cautiously, up to this age
    answers_hold_s: 30,               // so long a box's own answer stands in for discovery's word
    refusals: 3,                      // so many connections in a row that do not come up end a recent entry's trust
    try_again_s: 2,                   // the first wait after that, doubled up to
    try_again_most_s: minute,
    shrunk_below: 0.5,                // a whole list with less than this share of the boxes in service is held to be cut
    withheld_s: 30,                   // and what it leaves out is remembered for so long, unused
    skew_s: 5,                        // a list written later than this from now means that the clock went back
    drain_on_disk_ms: 100,            // drains, gone boxes and purges are on disk by then,
    write_every_ms: 1000,             // all else by then
  },

  // Directors that know of each other: docs/operate/fleet.md. Where they may talk, and not on the platform.
  // fleet: {
  //   fleet: 'offices',
  //   listen: '10.0.0.4:7400',          // in figures: names are not looked up
  //   file: '/var/lib/mothcross/fleet', // on a disk that lasts; one file a director
  //   seeds: [{ at: '10.0.0.4:7400' }, { at: '10.0.0.5:7400' }],
  //   keys: [{ id: 1, secret: importstr 'fleet.key' }],
  //   period_ms: 500,
  //   silent_s: 30,
  //   steady_s: 5,
  //   lease_s: 5,
  //   directors: 0,                     // that share each limit; 0: as the platform tells
  // },

  // Changes of the routes that take hold at every director or at none: docs/operate/policy.md. With it, routes come
  // by `mothcross policy propose`, and stand in no director's file.
  // policy: {
  //   voters: [{ name: 'd1' }, { name: 'd2' }, { name: 'd3' }],  // the same in every file
  //   dir: '/var/lib/mothcross/policy', // on a disk that lasts; one folder a director, never copied
  //   lease_s: 3,
  // },
}
