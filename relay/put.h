// MSG.PUT, by which a client hands a message in.
#pragma once

#include <string>
#include <vector>

#include "message.h"

namespace firspool::relay {

// Reads the words of MSG.PUT, the last byte of which came at `read`; throws std::invalid_argument with a line
// for the client.
Handed parse_put(const std::vector<std::string>& words, Time read);

}  // namespace firspool::relay
