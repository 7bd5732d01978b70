// The programs that tests of the lab play, as this build has them.
#pragma once

#include <string>

namespace umberhoist::lab {

std::string relay_program();
std::string failing_relay_program();  // one whose system calls fail by FAILING_CALLS
std::string standin_program();

}  // namespace umberhoist::lab
