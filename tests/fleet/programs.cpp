#include "programs.h"

namespace umberhoist::lab {

std::string relay_program() { return UMBERHOIST; }
std::string failing_relay_program() { return FAILING_RELAY; }
std::string standin_program() { return STANDIN; }

}  // namespace umberhoist::lab
