#include "base/random.hpp"

#include <cstdint>

namespace duneturn {

// Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators", OOPSLA 2014, figure 16.
auto RandomSource::next() -> std::uint64_t {
    state += 0x9e3779b97f4a7c15ULL;
    auto mixed = state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

}  // namespace duneturn
