#include "cli/ctl.hpp"

#include <string>
#include <vector>

#include "cli/ctl_run.hpp"

namespace duneturn {

auto ctlRun(const CtlOptions& options, const std::vector<std::string>& words) -> int {
    return int(CtlRun(options, words).run());
}

auto ctlHelp() -> std::string {
    return R"(duneturn ctl --node IP:PORT COMMAND…   (the operator address of any node)

  status                      this node in a few words
  nodes, servers              what this node knows of them
  tenants                     use of the tenants' quotas: all of it on the granter, else the tokens here
  config                      the newest configuration, read back from the log
  apply FILE                  puts FILE in force as the whole configuration
  change FILE                 lays FILE onto it as a merge patch (RFC 7396)
  plan                        booked and past moves, emptied districts
  empty DISTRICT              nothing new goes there from now on
  give-back DISTRICT          takes that back
  book TIME empty DISTRICT    books a move, TIME as 2026-01-31T06:00:00Z;
  book TIME give-back DISTRICT
  book TIME apply FILE
  cancel MOVE                 takes a booked move back
  rescue REIGN GENERATION     last resort, on a core: a new reign from what it holds, when
                              disks and nodes have both lost their majority
  roster add|remove NODE      the nodes that acknowledge
  order KEY                   what became of the order with this key
  live                        exchanges under way, on all nodes
  explain EXCHANGE            why that exchange went where it went (its X-Exchange-Id)
  watch                       each decision as it is made (--once: those remembered)
  where                       where senders are told to go
  beliefs                     all that this node believes

Flags: --json, --base GENERATION (apply, change: the configuration this rests on;
without it the newest is asked for first), --key KEY (the same key again gets the
first outcome), --once, --here (live, watch: of this node only).
Exit codes: 0 done, 1 denied, 2 wrong use, 3 no reply or not ready, 4 outcome unknown.
)";
}

}  // namespace duneturn
