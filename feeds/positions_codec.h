// Positions as CBOR: a list of [relay, log, number].
#pragma once

#include "../fleet/decoding.h"
#include "cursor.h"

namespace umberhoist::feeds {

nlohmann::json json_of(const Positions& positions);
Positions positions_in(const nlohmann::json& value);  // throws fleet::DecodeError; at most kMostOrigins

}  // namespace umberhoist::feeds
