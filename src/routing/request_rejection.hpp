#pragma once
// The reason for which a request is not served.
#include <string>

namespace duneturn {

/// A rejection as it is reported to the client.
struct RequestRejection {
    int status = 503;  ///< Of HTTP.
    std::string why;   ///< Reason for the client; never contains an API key.
};

}  // namespace duneturn
