#pragma once
// Looks at a socket's state beside its stream.

namespace duneturn {

/// Whether nothing waits to be read on a socket, not even the other side's end. Does not block.
auto isSocketQuiet(int descriptor) -> bool;

}  // namespace duneturn
