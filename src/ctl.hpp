#pragma once
// The operators' command line, and the comparison of two nodes' beliefs.
#include "shared.hpp"

namespace dt {

enum Exit { DONE = 0, DENIED = 1, USAGE = 2, UNREACHED = 3, UNKNOWN = 4 };

struct CtlOptions {
    Str node;  // any node's operator address
    Str key;
    std::int64_t base = -1;
    bool json = false, once = false, here = false;
};
auto ctlRun(const CtlOptions& o, const std::vector<Str>& args) -> int;
auto ctlHelp() -> Str;
/// Shows where two nodes' beliefs differ; 0 if they agree, 1 if not, 3 if one cannot be asked.
auto compareRun(const Str& a, const Str& b, bool json) -> int;
/// The differences of two beliefs (as Node::beliefs gives them): path, a's, b's.
auto compareBeliefs(const Val& a, const Val& b) -> std::vector<std::array<Str, 3>>;

}  // namespace dt
