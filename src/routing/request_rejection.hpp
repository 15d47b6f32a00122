#pragma once
// Why a request is not served, in the terms of HTTP.
#include <string>

namespace duneturn {

struct RequestRejection {
    int status = 503;
    std::string why;  ///< For the client; never holds a key.
};

}  // namespace duneturn
