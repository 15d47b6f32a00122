#pragma once
// The daemon's fixed limits, each with its unit and its reason. What operators may set is in ConnectionLimits
// (net/connection_limits.hpp) and DaemonOptions.
#include <cstddef>

#include "base/time.hpp"

namespace duneturn {

// ---- connections to servers

/// Sent bytes without an acknowledgement, after which a server's machine is taken for dead.
constexpr Microseconds SERVER_UNACKNOWLEDGED_LIMIT = 2 * SECOND;
constexpr Microseconds SERVER_CONNECT_TIMEOUT = 1 * SECOND;
/// For a server that has answered to take the rest of its request, and how often that is looked at.
constexpr Microseconds ANSWERED_REQUEST_TIMEOUT = 10 * SECOND;
constexpr Microseconds ANSWERED_REQUEST_CHECK_PERIOD = 20 * MILLISECOND;
/// A load probe as a whole; below the period of probes.
constexpr Microseconds PROBE_TIMEOUT = 900 * MILLISECOND;
constexpr std::size_t PROBE_BUFFER_BYTES = 64 * 1024;
/// Bytes asked of a socket at a time.
constexpr std::size_t READ_BYTES = 8 * 1024;
/// Idle connections kept to one server whose service names no maximum of connections.
constexpr std::size_t KEPT_PER_SERVER = 4;

// ---- connections of clients

/// As SERVER_UNACKNOWLEDGED_LIMIT; longer, since a client that reads nothing for a while counts too.
constexpr Microseconds CLIENT_UNACKNOWLEDGED_LIMIT = 10 * SECOND;
/// For a client to take what is written to it.
constexpr Microseconds CLIENT_WRITE_TIMEOUT = 30 * SECOND;
/// For a client to send its request's body.
constexpr Microseconds BODY_READ_TIMEOUT = 20 * SECOND;
/// Bytes held for a client that reads slowly, before its server is held back.
constexpr std::size_t HELD_RESPONSE_BYTES = 256 * 1024;
/// How soon it is looked at again whether such a client has read on.
constexpr Microseconds HELD_RESPONSE_RETRY = 20 * MILLISECOND;
/// Bytes taken of requests that a client sends ahead of its responses.
constexpr std::size_t READ_AHEAD_BYTES = 64 * 1024;
constexpr std::size_t READ_AHEAD_STEP_BYTES = 2 * 1024;
/// The most that a connection's buffer grows to; above any request that is allowed.
constexpr std::size_t CONNECTION_BUFFER_BYTES = std::size_t(64) << 20;
/// Connections open at once, of clients and operators together; further ones are closed at once.
constexpr int MOST_SESSIONS = 3500;
constexpr int ACCEPT_BACKLOG = 1024;
/// After a failed accept, as without free descriptors.
constexpr Microseconds ACCEPT_RETRY = 50 * MILLISECOND;
/// For the response to a faulty request, whose client may not be reading.
constexpr Microseconds REJECT_WRITE_TIMEOUT = 2 * SECOND;
/// For a client to close its side of a connection that a response has ended.
constexpr Microseconds CLOSE_TIMEOUT = 500 * MILLISECOND;
/// Bytes of a faulty request that are still read, so that its response isn't lost to a reset.
constexpr std::size_t REJECT_DRAIN_BYTES = std::size_t(16) << 20;
constexpr std::size_t REJECT_DRAIN_STEP_BYTES = 4096;
/// For an operator or the platform to take a response.
constexpr Microseconds OPERATOR_WRITE_TIMEOUT = 10 * SECOND;
/// Characters of a text from outside that are kept or logged.
constexpr std::size_t CLIPPED_TEXT = 200;

// ---- peers

constexpr std::size_t MOST_PEERS = 512;
/// Longer than a peer's own channel stays idle (peer_channel.cpp).
constexpr Microseconds PEER_RECEIVE_TIMEOUT = 45 * SECOND;
constexpr Microseconds PEER_SEND_TIMEOUT = 2 * SECOND;
constexpr Microseconds PEER_UNACKNOWLEDGED_LIMIT = 2 * SECOND;
constexpr int PEER_MESSAGE_BYTES = 8 << 20;
constexpr int PEER_MESSAGE_DEPTH = 64;
constexpr int PEER_CONTAINER_ITEMS = 100000;

// ---- threads and timers

/// The period of Node::tick and Edge::tick.
constexpr Microseconds TICK_PERIOD = 20 * MILLISECOND;
/// The period of what need not be done each tick: idle channels and kept connections, gauges.
constexpr Microseconds SWEEP_PERIOD = 200 * MILLISECOND;
/// A disk that failed at the start is tried again.
constexpr Microseconds DISK_RETRY = 1 * SECOND;
/// An adapter's duties that threw are begun again.
constexpr Microseconds DUTIES_RETRY = 1 * SECOND;
/// Threads of peers and of Thrift's server are many, and need little.
constexpr std::size_t THREAD_STACK_BYTES = 512 << 10;
constexpr int MALLOC_ARENAS = 2;
constexpr int MALLOC_MAP_FROM_BYTES = 128 << 10;
constexpr int MALLOC_TRIM_FROM_BYTES = 256 << 10;

// ---- a planned stop without an adapter; with one, StopSchedule has the steps

/// Handing over the fleet's duties takes a moment.
constexpr Microseconds SHORTEST_STOP = 500 * MILLISECOND;
/// For the responses that were cut to be written.
constexpr Microseconds AFTER_CUT = 200 * MILLISECOND;

}  // namespace duneturn
